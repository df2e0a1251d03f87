/** Entries in the process of the tests, with stand-ins of the platform over HTTP. Only tests of the operators' side use it. */

import {createInstanceListStandIn} from '../../stand-in/instance-list-stand-in.js';
import {createObjectStoreStandIn} from '../../stand-in/object-store-stand-in.js';
import {type StandIn, startStandIn} from '../../stand-in/stand-in-server.js';
import {createTableServiceStandIn} from '../../stand-in/table-service-stand-in.js';
import {checkSettings} from '../../settings/read-settings.js';
import {type JsonValue} from '../../shared/types.js';
import {type EntryAddresses, EntryDaemon} from '../entry-daemon.js';
import {entrySettingDefinitions} from '../entry-settings.js';

export const testOperatorKey = 'operator-key-of-the-tests';

/** A number of entries, and the stand-ins of the platform that they use. */
export class TestEntries {
	readonly addresses: EntryAddresses[] = [];
	readonly #platform: StandIn[] = [];
	readonly #daemons: EntryDaemon[] = [];

	/** Starts the stand-ins and the given number of entries. */
	async start(count: number, further: Record<string, string> = {}): Promise<void> {
		const at = {host: '127.0.0.1', port: 0};
		const [table, objects, list] = await Promise.all([createTableServiceStandIn(), createObjectStoreStandIn(), createInstanceListStandIn()].map(async definition => startStandIn(definition, at)));
		this.#platform.push(table!, objects!, list!);
		for (let index = 1; index <= count; index++) {
			await this.#startEntry({...this.entryFlags(`entry-${index}`), ...further});
		}
	}

	/** Returns the flags of an entry that uses these stand-ins. */
	entryFlags(instance: string): Record<string, string> {
		const [table, objects, list] = this.#platform.map(({address}) => address);
		return {
			instance,
			'data-centre': 'split-riva',
			listen: '127.0.0.1:0',
			'operator-listen': '127.0.0.1:0',
			'peer-listen': '127.0.0.1:0',
			'operator-key': testOperatorKey,
			'cache-secret': 'cache-secret-of-the-tests',
			'table-address': table!,
			'object-address': objects!,
			'list-address': list!,
			'log-level': 'error',
		};
	}

	/** Sets the faults of the table service. */
	async setTableFaults(faults: Record<string, JsonValue>): Promise<void> {
		await fetch(`http://${this.#platform[0]!.address}/control`, {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(faults)});
	}

	/** Replaces the content of the platform's instance list. */
	async announce(instances: JsonValue): Promise<void> {
		await fetch(`http://${this.#platform[2]!.address}/instances`, {method: 'PUT', headers: {'content-type': 'application/json'}, body: JSON.stringify({instances})});
	}

	async stop(): Promise<void> {
		await Promise.all(this.#daemons.map(async daemon => daemon.stop()));
		await Promise.all(this.#platform.map(async standIn => standIn.close()));
	}

	async #startEntry(flags: Record<string, string>): Promise<void> {
		const daemon = new EntryDaemon(checkSettings(entrySettingDefinitions, {flags, environment: {}}).unsafeCoerce());
		this.#daemons.push(daemon);
		await new Promise<void>(resolve => {
			void daemon.run(addresses => {
				this.addresses.push(addresses);
				resolve();
			});
		});
	}
}
