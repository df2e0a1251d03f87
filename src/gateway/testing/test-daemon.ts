/** A whole gateway process's daemon within a test, before a store that never changes. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Left, Right} from 'purify-ts/Either';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {type JsonValue} from '../../shared/types.js';
import {MemoryTable} from '../../test/memory-table.js';
import {ownWireNames as names} from '../data-path/wire-names.js';
import {type WaitingScope} from '../gateway-settings.js';
import {GatewayDaemon, type GatewayPorts} from '../gateway-daemon.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {testConfiguration, testRoute} from './test-configuration.js';
import {testEndpoint} from './test-endpoint.js';

async function freeAddress(): Promise<string> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${port}`;
}

/** An address for each listener of a gateway. */
async function freeAddresses(): Promise<[string, string, string, string, string, string, string]> {
	return Promise.all([freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()]);
}

/** A store whose feeds return one configuration, one endpoint and the given rows, and no changes afterwards. */
class QuietStore extends MemoryTable {
	readonly #rows: Record<string, JsonValue>;

	/** @param rows - Contents by key, in every table. */
	constructor(rows: Record<string, JsonValue>) {
		super();
		this.#rows = rows;
	}

	async readSnapshot(table: string) {
		return Right({
			rows: Object.entries({[table]: null, ...this.#rows}).map(([key, content]) => ({
				key, content, isDeleted: false, revision: 1,
			})),
			position: 1,
			era: 0,
		});
	}

	async follow() {
		await new Promise(resolve => {
			setTimeout(resolve, 200).unref();
		});
		return Right({rows: [], position: 1, era: 0});
	}
}

/**
 * Creates a daemon that does not run yet, with one route of streams.
 *
 * @param endpointAddress - `IP:port` of its only endpoint.
 * @param rows - Further rows of the store's tables, by key.
 * @param waiting - Which requests wait for room.
 * @param grants - The workspaces by key.
 */
export async function createTestDaemon(endpointAddress: string, rows: Record<string, JsonValue> = {}, waiting: WaitingScope = 'none', grants?: RoutedConfiguration['grants']) {
	const [listenCallers, listenReady, listenPeers, listenStandby, listenRelay, listenStreams, listenMetrics] = await freeAddresses();
	const ports: GatewayPorts = {
		clock: systemMomentClock,
		names,
		storeSchema: {
			operatorTable: 'operators',
			endpointTable: 'endpoints',
			readOperatorRow: () => Right({kind: 'configuration', configuration: testConfiguration({routes: [testRoute({kind: 'stream', timeoutMilliseconds: 20_000})], ...(grants === undefined ? {} : {grants})})}),
			readEndpointRow: () => Right(testEndpoint({address: endpointAddress})),
		},
		store: new QuietStore(rows),
		control: {report: async () => Left('none'), orderWeights: async () => 'unknown'},
		storeControl: {list: async () => Left('none'), events: async () => Left('none'), free: async () => Left('none')},
		metrics: new GatewayMetrics(),
		random: () => 0,
	};
	const daemon = new GatewayDaemon({
		instance: 'e1',
		dataCentre: 'split',
		listenCallers,
		listenReady,
		readyPath: '/ready',
		listenPeers,
		listenStandby,
		listenRelay,
		listenStreams,
		listenMetrics,
		maxDescriptors: 4096,
		storeAddress: '',
		cores: 1,
		regions: {own: 'dalmatia', byDataCentre: new Map([['split', 'dalmatia']])},
		urgency: 'workspace',
		idleConnections: 'ignored',
		waiting,
		bounds: {
			configurationMilliseconds: 2000,
			revocationMilliseconds: 5000,
			drainMilliseconds: 2000,
			graceMilliseconds: 8000,
			retryRatio: 0.2,
			retryWindowMilliseconds: 10_000,
			leaseMilliseconds: 3000,
			weightsMilliseconds: 10_000,
			heartbeatMilliseconds: 1000,
			contactMilliseconds: 3000, warmUpRatio: 1, warmUpExtra: 0,
		},
	}, ports);
	return {
		daemon, listenCallers, listenReady, listenRelay, metrics: ports.metrics,
	};
}
