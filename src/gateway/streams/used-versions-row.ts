/**
 * The row of the store that names the software versions at which streams that still last can have begun. An instance that has just
 * started reads there what was in use before; without it, nothing would be proven until it had followed the list of endpoints for as
 * long as any stream may last.
 *
 * The coordinator writes the row when a version appears, and again when no stream that began at a version can last any more. An
 * instance may read the row before a version is in it that has just appeared; `VersionHistory` allows time for that.
 */
import * as zod from 'zod';
import {type FeedRow} from '../../ports/table-feed.js';
import {type Moment, type MomentClock} from '../../ports/moment-clock.js';
import {type TableService} from '../../ports/table-service.js';
import {InterruptibleSleep} from '../../shared/interruptible-sleep.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {type UsedVersions} from '../endpoints/version-history.js';
import {weightsLeaseTable} from '../leadership/weights-lease.js';
import {relayKeyKey} from '../relay/relay-key.js';
import {type Arrival, type FeedHandler} from '../watchers/feed-update.js';

export type UsedVersionsRowDependencies = {
	store: Pick<TableService, 'commit'>;
	clock: MomentClock;
	configuration: {readonly current: Pick<RoutedConfiguration, 'routes'> | undefined};
	endpoints: Pick<EndpointRegistry, 'coverVersions' | 'confirmCoveredVersions' | 'usedVersions' | 'versionChanges'>;
	isCoordinator: () => boolean;
};

export const usedVersionsKey = 'used-versions';
/** How often an instance compares the row with what it knows, while these differ. */
const checkIntervalMilliseconds = 500;
/** The same while they do not differ: services may have got their first route of streams that can be resumed. */
const idleCheckIntervalMilliseconds = 5000;
const rowSchema = zod.object({services: zod.array(zod.tuple([zod.string(), zod.array(zod.string())]))});

export class UsedVersionsRow implements FeedHandler, Child {
	readonly name = 'used-versions';
	readonly #dependencies: UsedVersionsRowDependencies;
	readonly #pause: InterruptibleSleep;
	/** The row as it was last read, and its revision; 0 while there is none. */
	#row: {used: UsedVersions; revision: number} = {used: new Map(), revision: 0};
	#isRead = false;

	constructor(dependencies: UsedVersionsRowDependencies) {
		this.#dependencies = dependencies;
		this.#pause = new InterruptibleSleep(dependencies.clock);
		dependencies.endpoints.versionChanges.subscribe(() => {
			this.#pause.interrupt();
		});
	}

	/**
	 * Applies the whole table. Without the key of relays, which the first coordinator writes, the deployment has just begun. A restored
	 * store may lack versions that were used since, so it proves nothing.
	 */
	handleSnapshot(rows: readonly FeedRow[], sentAt: Moment, _now: Moment, arrival: Arrival): void {
		const used = this.#read(rows, true);
		if (arrival === 'restored') {
			return;
		}

		const {endpoints} = this.#dependencies;
		if (used !== undefined) {
			endpoints.coverVersions(used, sentAt.steady);
		} else if (!rows.some(({key}) => key === relayKeyKey)) {
			endpoints.coverVersions('none', sentAt.steady);
		}
	}

	handleChanges(rows: readonly FeedRow[], sentAt: Moment, _now: Moment, arrival: Arrival): void {
		const used = this.#read(rows, false);
		if (arrival === 'restored') {
			return;
		}

		const {endpoints} = this.#dependencies;
		if (used === undefined) {
			endpoints.confirmCoveredVersions(sentAt.steady);
		} else {
			endpoints.coverVersions(used, sentAt.steady);
		}
	}

	handleFailure(): void {
		// What was used before does not change.
	}

	/** Writes the row where it differs from what this instance knows, while it is the coordinator. */
	async run(signal: AbortSignal): Promise<void> {
		const {isCoordinator} = this.#dependencies;
		while (!signal.aborted) {
			const next = this.#nextRow();
			if (next !== undefined && isCoordinator()) {
				await this.#write(next);
			}

			await this.#pause.sleep(next === undefined ? idleCheckIntervalMilliseconds : checkIntervalMilliseconds, signal);
		}
	}

	/** Returns what the row says if it is among these, and can be read. */
	#read(rows: readonly FeedRow[], isWhole: boolean): UsedVersions | undefined {
		const row = rows.findLast(({key}) => key === usedVersionsKey);
		if (row === undefined && !isWhole) {
			return undefined;
		}

		this.#isRead = true;
		const checked = row === undefined || row.isDeleted ? undefined : rowSchema.safeParse(row.content);
		const used = checked?.success ? new Map(checked.data.services) : undefined;
		this.#row = {used: used ?? new Map(), revision: row === undefined || row.isDeleted ? 0 : row.revision};
		return used;
	}

	/** What the row should be; `undefined` if it is so, or may be. Services of which not all versions are known keep what it says. */
	#nextRow(): UsedVersions | undefined {
		const {clock, configuration: {current}, endpoints} = this.#dependencies;
		if (!this.#isRead || current === undefined) {
			return undefined;
		}

		const known = endpoints.usedVersions(clock.moment().steady);
		const next = new Map<string, readonly string[]>();
		for (const service of resumableServices(current)) {
			const versions = known.get(service) ?? this.#row.used.get(service);
			if (versions !== undefined) {
				next.set(service, versions);
			}
		}

		return textOf(next) === textOf(this.#row.used) ? undefined : next;
	}

	async #write(next: UsedVersions): Promise<void> {
		const name = {table: weightsLeaseTable, key: usedVersionsKey};
		const value = {services: [...next].map(([service, versions]) => [service, [...versions]])};
		// The table's feed returns the row, also after a conflict.
		await this.#dependencies.store.commit({conditions: [{...name, revision: this.#row.revision}], writes: [{...name, value}]});
	}
}

/** The services of routes whose streams may be resumed, in the order of their names. */
function resumableServices({routes}: Pick<RoutedConfiguration, 'routes'>): string[] {
	return [...new Set(routes.filter(({kind}) => kind === 'resumable-stream').flatMap(({targets}) => targets.map(({service}) => service)))].toSorted();
}

function textOf(used: UsedVersions): string {
	return JSON.stringify([...used.keys()].toSorted().map(service => [service, used.get(service)!.toSorted()]));
}
