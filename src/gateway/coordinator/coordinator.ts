/**
 * The coordinator: one instance, elected by a lease, that aggregates hints which no instance can collect alone, and serves them
 * to all: what the cache stores and the engines hold, and the load of all instances at each endpoint.
 *
 * The alternatives cost more. If each instance polled each store and engine itself, they would exceed the few calls at a time
 * that stores and engines allow from all instances together; a mesh of all instances takes a connection for each pair. When the
 * coordinator fails or is cut off, another instance acquires the lease some seconds later. Meanwhile a standby answers: an
 * instance with a lease of its own that follows the engines as well and manages no stores.
 */
import {type CacheStoreControl} from '../../ports/cache-store-control.js';
import {alignedDelay} from '../../shared/aligned-delay.js';
import {hashOf} from '../../shared/hash-of.js';
import {type BlockChanges} from '../../protocol/blocks/store-inventory.js';
import {type Child} from '../../supervisor/supervisor.js';
import {configuredEndpoints} from '../endpoints/configured-endpoints.js';
import {type LeaderElection} from '../leadership/leader-election.js';
import {type CoordinatorShares} from '../shares/coordinator-shares.js';
import {type FeedUpdate, type FeedCursor} from '../watchers/feed-update.js';
import {type GatewayContext} from '../gateway-context.js';
import {leaseAcquisitionDelay} from './lease-acquisition-delay.js';
import {EngineCacheWatchers} from './engine-cache-watchers.js';
import {queryIntervalMilliseconds, type CoordinatorClient} from './coordinator-client.js';
import {
	engineHolder, type BlocksAnswer, type CoordinatorRole, type PermitQuery, type PlacementQuery,
} from './coordinator-messages.js';
import {isExpiredSalt, managedStores, readyEngines} from './managed-services.js';
import {CoordinatorServer, type CoordinatorSource} from './coordinator-server.js';
import {BlockDirectory} from './block-directory.js';
import {ConnectionLog} from './connection-log.js';
import {DroppedQueries} from './dropped-queries.js';
import {ExclusiveCall} from './exclusive-call.js';
import {type CrashReportWriter} from './report-relay.js';
import {CacheStoreManagers} from './cache-store-managers.js';

/** The lease is renewed when less than this is left of a grant, or less than two renewals as slow as the last one take. */
const renewBeforeMilliseconds = 750;
/**
 * A coordinator that could not renew its lease serves hints for this long, unless it observes another holder: a store that is
 * slow or unavailable for seconds keeps others from taking over as well, and without hints all prompts are prefilled again. The
 * contents of cache stores are served only while there can be no next holder, which may free them.
 */
const lapsedServingMilliseconds = 15_000;
/**
 * While the coordinator's lease has lapsed, followers search for a new one at this interval; most of them cannot reach the
 * store either.
 */
const lapsedSearchIntervalMilliseconds = 1500;
/** Instances without a coordinator search for it, or try to replace it, spread over this time. */
const searchSpreadMilliseconds = 600;
/** Instances that wait for the same lease to expire try to acquire it spread over this time. */
const takeoverSpreadMilliseconds = 150;
/** How long a dialled coordinator may take to answer before the lease row is read again. */
const dialTimeoutMilliseconds = 700;

/**
 * While the coordinator answers, the standby is queried only once in so many steps: its knowledge of loads is at most that old
 * when it is needed.
 */
const stepsPerStandbyQuery = 2;
/** Delay of the search for the standby's lease, so that the coordinator's lease is acquired first. */
const standbyDelayMilliseconds = 1500;

/** What the coordinator uses of the gateway. */
export type CoordinatorContext = Pick<GatewayContext, 'clock' | 'configuration' | 'dataCentre' | 'endpoints' | 'log' | 'metrics'>;

/** Settings and dependencies of a coordinator. */
export type CoordinatorOptions = {
	role: CoordinatorRole;
	instance: string;
	address: string;
	election: LeaderElection;
	client: CoordinatorClient;
	control: CacheStoreControl;
	/** CPU cores that its machine gives this instance. */
	cores: number;
	/** Absent at the standby, and where the settings enable no shares. */
	shares?: CoordinatorShares | undefined;
	/** Absent at the standby. */
	reportWriter?: CrashReportWriter | undefined;
	/** Table changes of this instance for a follower at the given positions. */
	tableUpdates(cursors: Record<string, FeedCursor>): FeedUpdate[];
	/** Whether this instance holds the lease of the other role. */
	holdsOtherLease(): boolean;
	/** Whether the holder of the other role answers. */
	isOtherUp(): boolean;
	/** The data centre of the holder of the other role, if it is known. */
	otherDataCentre(): string | undefined;
};

export class Coordinator implements Child, CoordinatorSource {
	readonly name: CoordinatorRole;
	readonly server: CoordinatorServer;
	readonly #context: CoordinatorContext;
	readonly #options: CoordinatorOptions;
	readonly #stores: CacheStoreManagers;
	readonly #engines: EngineCacheWatchers;
	readonly #directory = new BlockDirectory();
	#nextSearchAt = 0;
	#lastHeldAt = Number.NEGATIVE_INFINITY;
	readonly #leaseCall: ExclusiveCall;
	readonly #connectionLog: ConnectionLog;
	readonly #droppedQueries: DroppedQueries;
	#hasResigned = false;
	#steps = 0;

	constructor(context: CoordinatorContext, options: CoordinatorOptions) {
		this.name = options.role;
		this.#context = context;
		this.#options = options;
		this.server = new CoordinatorServer(options.address, this, context.clock);
		const {control} = options;
		const {clock, log} = context;
		this.#connectionLog = new ConnectionLog(log, this.name);
		this.#droppedQueries = new DroppedQueries(context, this.name);
		this.#leaseCall = new ExclusiveCall(error => {
			log.record('fault', {child: this.name, error: String(error)});
		});
		const publish = (holder: string, change: BlockChanges): void => {
			this.#directory.apply(holder, change);
		};

		this.#stores = new CacheStoreManagers({
			control, clock, log, publish, holdsLease: () => this.holdsLease(), isExpired: salt => isExpiredSalt(salt, configuredEndpoints(context.configuration.current, context.endpoints.all())),
		});
		this.#engines = new EngineCacheWatchers({
			control,
			clock,
			publish(engine, change) {
				publish(engineHolder(engine), change);
			},
		}, log);
		this.#nextSearchAt = this.#now() + this.#acquisitionDelay() + (searchSpreadMilliseconds * this.#spreadShare) + (this.isStandby ? standbyDelayMilliseconds : 0);
	}

	get isStandby(): boolean {
		return this.#options.role === 'hub-deputy';
	}

	get dataCentre(): string {
		return this.#context.dataCentre;
	}

	get shares(): CoordinatorShares | undefined {
		return this.#options.shares;
	}

	get reportWriter(): CrashReportWriter | undefined {
		return this.#options.reportWriter;
	}

	get cores(): number {
		return this.#options.cores;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.step();
			// Both roles of an instance query at the same time.
			await this.#context.clock.sleep(alignedDelay(this.#now(), queryIntervalMilliseconds), signal);
		}

		this.#stopServing();
		this.#options.client.close();
	}

	/** Releases the lease and does not acquire it again: the process is about to end. */
	async resign(): Promise<void> {
		this.#hasResigned = true;
		this.#stopServing();
		await this.#options.election.release();
	}

	/**
	 * Renews the lease or searches for its holder, and queries the holder. Calls to the store run beside the queries, which
	 * must not wait for them.
	 */
	step(): void {
		const {election, client} = this.#options;
		const isActive = !this.#hasResigned;
		this.#steps++;
		if (isActive && this.holdsLease() && this.#mustYieldLease()) {
			void this.#leaseCall.run(async () => election.release());
		} else if (isActive && this.holdsLease() && election.remainingMilliseconds() < Math.max(renewBeforeMilliseconds, election.renewBeforeMilliseconds)) {
			void this.#leaseCall.run(async () => election.acquireOrRenew([], this.#stores.epochs()));
		}

		this.#updateServing();
		if (client.isConnected && this.#isQueryDue()) {
			client.poll();
		}

		const hasCoordinator = client.isConnected && !client.isLapsed;
		this.#connectionLog.note(hasCoordinator, client);
		if (isActive && !hasCoordinator && this.#now() >= this.#nextSearchAt) {
			this.#nextSearchAt = this.#now() + (client.isConnected ? lapsedSearchIntervalMilliseconds : dialTimeoutMilliseconds);
			void this.#leaseCall.run(async () => this.#search());
		}
	}

	holdsLease(): boolean {
		return this.#options.election.remainingMilliseconds() > 0;
	}

	/** Whether followers are served: under the lease, and for a while after it has lapsed. */
	isServing(): boolean {
		const {election, instance} = this.#options;
		const hasSuccessor = election.lastSeenRow !== undefined && election.lastSeenRow.holder !== instance;
		return !this.#hasResigned && (this.holdsLease() || (!hasSuccessor && this.#now() - this.#lastHeldAt < lapsedServingMilliseconds));
	}

	engineClock(): number | undefined {
		return this.#stores.engineClock() ?? this.#engines.engineClock();
	}

	/**
	 * Checks the lease at each call: a process that was paused answers queries before its next step, when another coordinator
	 * may have freed blocks.
	 */
	openStores(): Array<[store: string, heldTokens: number]> {
		return this.holdsLease() || this.#options.election.isUncontested ? this.#stores.openStores() : [];
	}

	locateBlocks(query: PlacementQuery, requestsAt: (engine: string) => number): BlocksAnswer {
		return this.#directory.answer(query, {
			stores: this.openStores().map(([store]) => store), isUpToDate: engine => this.#engines.isUpToDate(engine), requestsAt,
		});
	}

	tableUpdates(cursors: Record<string, FeedCursor>): FeedUpdate[] {
		return this.#options.tableUpdates(cursors);
	}

	/** How much later than others this instance tries to acquire the lease, in milliseconds. */
	acquisitionDelayMilliseconds(): number {
		return this.#acquisitionDelay() + (takeoverSpreadMilliseconds * this.#spreadShare);
	}

	recordUses(keys: readonly string[]): void {
		this.#stores.recordUses(keys);
	}

	/** Permits end with the time in which no other instance can hold the lease, since the next holder grants them from then on. */
	permitTerm(): number | undefined {
		return this.isStandby ? undefined : this.slotTerm();
	}

	slotTerm(): number | undefined {
		return this.#hasResigned ? undefined : this.#options.election.uncontestedGrant?.row.fencingNumber;
	}

	recordPermit(instance: string, term: number, {incarnation, limitPerSecond, answeredMilliseconds}: PermitQuery): void {
		this.#context.log.record('permit-granted', {
			to: instance, term, endpoint: incarnation, limitPerSecond, answeredMilliseconds: Math.round(answeredMilliseconds),
		});
	}

	recordDropped(count: number, oldestMilliseconds: number): void {
		this.#droppedQueries.record(count, oldestMilliseconds, this.#now());
	}

	recordFault(error: unknown): void {
		this.#context.log.record('fault', {child: this.server.name, error: String(error)});
	}

	/** Reads the lease row: acquires the lease if it is free, otherwise dials its holder. */
	async #search(): Promise<void> {
		const {election, client, instance, address} = this.#options;
		await (this.#mustYieldLease() ? election.readHolder() : election.acquireOrRenew());
		const {lastSeenRow} = election;
		const coordinatorAddress = this.holdsLease() ? address : lastSeenRow?.address ?? '';
		const isOther = this.holdsLease() || lastSeenRow?.holder !== instance;
		if (coordinatorAddress !== '' && isOther && client.address !== coordinatorAddress) {
			client.dial(coordinatorAddress);
			client.poll();
		}
	}

	/**
	 * Manages stores under the lease, and watches engines as long as followers are served. After the lease has lapsed, stores
	 * are still served and nothing is freed while no other instance can hold it: only another holder could free what is served,
	 * and without the stores each returning prompt is prefilled again for as long as the platform's table is unavailable.
	 */
	#updateServing(): void {
		if (this.holdsLease()) {
			this.#lastHeldAt = this.#now();
			this.#stores.manage(this.isStandby ? [] : managedStores(this.#context.configuration.current), this.#options.election.grant?.row.fencingNumber ?? 0, this.#options.election.handover);
		} else if (!this.#options.election.isUncontested) {
			this.#options.election.discardGrant('it was not renewed in time');
			this.#stores.close();
		}

		if (this.isServing()) {
			const {configuration, endpoints} = this.#context;
			this.#engines.watch(readyEngines(configuration.current, endpoints.all()));
		} else {
			this.#stopServing();
		}
	}

	#stopServing(): void {
		this.#stores.close();
		this.#engines.close();
		this.server.dropAll();
	}

	#isQueryDue(): boolean {
		return !this.isStandby || !this.#options.isOtherUp() || this.#steps % stepsPerStandbyQuery === 0;
	}

	/** Whether this instance must leave the lease of the standby to others: with both roles it would fail in both at once. */
	#mustYieldLease(): boolean {
		return this.isStandby && this.#options.holdsOtherLease();
	}

	#acquisitionDelay(): number {
		const {client, cores, holdsOtherLease, otherDataCentre} = this.#options;
		return leaseAcquisitionDelay({
			cores, maxCores: client.maxCores, holdsOtherLease: holdsOtherLease(), isCoLocated: otherDataCentre() === this.#context.dataCentre,
		});
	}

	/** From 0 up to 1, a different share for each instance. */
	get #spreadShare(): number {
		return hashOf(this.#options.instance) / (2 ** 32);
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
