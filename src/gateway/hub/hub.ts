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
import {hashOf} from '../../shared/hash-of.js';
import {type BlockChanges} from '../../protocol/blocks/store-inventory.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type DutySeat} from '../duty/duty-seat.js';
import {type FeedNews, type FeedPlace} from '../watchers/feed-news.js';
import {type GatewayContext} from '../gateway-context.js';
import {dutyPatience} from './duty-patience.js';
import {EngineWatches} from './engine-watches.js';
import {askMilliseconds, type HubClient} from './hub-client.js';
import {engineHolder, type PartsAnswer, type PlaceQuestion} from './hub-messages.js';
import {isDeadSalt, managedStores, readyEngines} from './hub-services.js';
import {HubServer, type HubSource} from './hub-server.js';
import {PartDirectory} from './part-directory.js';
import {StoreKeepers} from './store-keepers.js';

/** The lease is renewed when less than this is left of a grant, or less than two renewals as slow as the last one take. */
const renewMilliseconds = 750;
/**
 * A coordinator that could not renew its lease serves hints for this long, unless it observes another holder: a store that is
 * slow or unavailable for seconds keeps others from taking over as well, and without hints all prompts are prefilled again. The
 * contents of cache stores are served only while there can be no next holder, which may free them.
 */
const lapsedMilliseconds = 15_000;
/**
 * While the coordinator's lease has lapsed, followers search for a new one at this interval; most of them cannot reach the
 * store either.
 */
const lapsedLookMilliseconds = 1500;
/** Instances without a coordinator search for it, or try to replace it, spread over this time. */
const spreadMilliseconds = 600;
/** Instances that wait for the same lease to expire try to acquire it spread over this time. */
const takeoverSpreadMilliseconds = 150;
/** How long a dialled coordinator may take to answer before the lease row is read again. */
const dialMilliseconds = 700;

/**
 * While the coordinator answers, the standby is queried only once in so many steps: its knowledge of loads is at most that old
 * when it is needed.
 */
const stepsPerDeputyQuestion = 2;
/** Delay of the search for the standby's lease, so that the coordinator's lease is acquired first. */
const deputyDelayMilliseconds = 1500;

/**
 * Which of the two leases: the holder of `hub` serves hints and manages the stores, that of `hub-deputy`, the standby, serves
 * hints while the coordinator does not answer.
 */
export type HubRole = 'hub' | 'hub-deputy';

/** What the coordinator uses of the gateway. */
export type HubContext = Pick<GatewayContext, 'clock' | 'configuration' | 'dataCentre' | 'endpoints' | 'log'>;

/** Settings and dependencies of a coordinator. */
export type HubParts = {
	role: HubRole;
	instance: string;
	address: string;
	seat: DutySeat;
	client: HubClient;
	control: CacheStoreControl;
	/** CPU cores that its machine gives this instance. */
	cores: number;
	/** Table changes of this instance for a follower at the given positions. */
	tableNews(places: Record<string, FeedPlace>): FeedNews[];
	/** Whether this instance holds the lease of the other role. */
	hasOtherDuty(): boolean;
	/** Whether the holder of the other role answers. */
	doesOtherAnswer(): boolean;
	/** The data centre of the holder of the other role, if it is known. */
	otherDataCentre(): string | undefined;
};

export class Hub implements Child, HubSource {
	readonly name: HubRole;
	readonly server: HubServer;
	readonly #context: HubContext;
	readonly #parts: HubParts;
	readonly #stores: StoreKeepers;
	readonly #engines: EngineWatches;
	readonly #directory = new PartDirectory();
	#lookAt = 0;
	#heldAt = Number.NEGATIVE_INFINITY;
	#isSeeking = false;
	#hadHub: boolean | undefined;
	#isLeaving = false;
	#steps = 0;

	constructor(context: HubContext, parts: HubParts) {
		this.name = parts.role;
		this.#context = context;
		this.#parts = parts;
		this.server = new HubServer(parts.address, this, context.clock);
		const {control} = parts;
		const {clock, log} = context;
		const tell = (holder: string, change: BlockChanges): void => {
			this.#directory.take(holder, change);
		};

		this.#stores = new StoreKeepers({
			control, clock, log, tell, mayAct: () => this.isHub(), isDead: salt => isDeadSalt(salt, context.endpoints.all()),
		});
		this.#engines = new EngineWatches({
			control,
			clock,
			tell(engine, change) {
				tell(engineHolder(engine), change);
			},
		}, log);
		this.#lookAt = this.#now() + this.#patience() + (spreadMilliseconds * this.#ownShare) + (this.isDeputy ? deputyDelayMilliseconds : 0);
	}

	get isDeputy(): boolean {
		return this.#parts.role === 'hub-deputy';
	}

	get dataCentre(): string {
		return this.#context.dataCentre;
	}

	get cores(): number {
		return this.#parts.cores;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.step();
			await this.#context.clock.sleep(askMilliseconds, signal);
		}

		this.#endServing();
		this.#parts.client.close();
	}

	/** Releases the lease and does not acquire it again: the process is about to end. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		this.#endServing();
		await this.#parts.seat.release();
	}

	/**
	 * Renews the lease or searches for its holder, and queries the holder. Calls to the store run beside the queries, which
	 * must not wait for them.
	 */
	step(): void {
		const {seat, client} = this.#parts;
		const isNeeded = !this.#isLeaving;
		this.#steps++;
		if (isNeeded && this.isHub() && this.#isBarred()) {
			void this.#seekBeside(async () => seat.release());
		} else if (isNeeded && this.isHub() && seat.left() < Math.max(renewMilliseconds, seat.renewalMilliseconds)) {
			void this.#seekBeside(async () => seat.seek([], this.#stores.epochs()));
		}

		this.#serve();
		if (client.isConnected && this.#isQuestionDue()) {
			client.ask();
		}

		const hasHub = client.isConnected && !client.isLapsed;
		this.#logHub(hasHub);
		if (isNeeded && !hasHub && this.#now() >= this.#lookAt) {
			this.#lookAt = this.#now() + (client.isConnected ? lapsedLookMilliseconds : dialMilliseconds);
			void this.#seekBeside(async () => this.#look());
		}
	}

	isHub(): boolean {
		return this.#parts.seat.left() > 0;
	}

	/** Whether followers are served: under the lease, and for a while after it has lapsed. */
	isServing(): boolean {
		const {seat, instance} = this.#parts;
		const isSucceeded = seat.seen !== undefined && seat.seen.holder !== instance;
		return !this.#isLeaving && (this.isHub() || (!isSucceeded && this.#now() - this.#heldAt < lapsedMilliseconds));
	}

	engineClock(): number | undefined {
		return this.#stores.engineClock() ?? this.#engines.engineClock();
	}

	/**
	 * Checks the lease at each call: a process that was paused answers queries before its next step, when another coordinator
	 * may have freed blocks.
	 */
	openStores(): Array<[store: string, heldTokens: number]> {
		return this.isHub() || this.#parts.seat.isUncontested ? this.#stores.open() : [];
	}

	whereKept(question: PlaceQuestion, requestsAt: (engine: string) => number): PartsAnswer {
		return this.#directory.answer(question, {
			stores: this.openStores().map(([store]) => store), isKnown: engine => this.#engines.isKnown(engine), requestsAt,
		});
	}

	tableNews(places: Record<string, FeedPlace>): FeedNews[] {
		return this.#parts.tableNews(places);
	}

	/** How much later than others this instance tries to acquire the lease, in milliseconds. */
	patienceMilliseconds(): number {
		return this.#patience() + (takeoverSpreadMilliseconds * this.#ownShare);
	}

	takeUses(keys: readonly string[]): void {
		this.#stores.use(keys);
	}

	#logHub(hasHub: boolean): void {
		if (hasHub === this.#hadHub) {
			return;
		}

		const {client} = this.#parts;
		if (this.#hadHub !== undefined || hasHub) {
			this.#context.log.record(hasHub ? 'dependency-regained' : 'dependency-lost', {
				dependency: this.name, address: client.address, isLapsed: client.isLapsed,
			});
		}

		this.#hadHub = hasHub;
	}

	async #seekBeside(seek: () => Promise<void>): Promise<void> {
		if (this.#isSeeking) {
			return;
		}

		this.#isSeeking = true;
		try {
			await seek();
		} catch (error) {
			this.#context.log.record('fault', {child: this.name, error: String(error)});
		} finally {
			this.#isSeeking = false;
		}
	}

	/** Reads the lease row: acquires the lease if it is free, otherwise dials its holder. */
	async #look(): Promise<void> {
		const {seat, client, instance, address} = this.#parts;
		await (this.#isBarred() ? seat.look() : seat.seek());
		const {seen} = seat;
		const hubAddress = this.isHub() ? address : seen?.address ?? '';
		const isOther = this.isHub() || seen?.holder !== instance;
		if (hubAddress !== '' && isOther && client.address !== hubAddress) {
			client.dial(hubAddress);
			client.ask();
		}
	}

	/**
	 * Manages stores under the lease, and watches engines as long as followers are served. After the lease has lapsed, stores
	 * are still served and nothing is freed while no other instance can hold it: only another holder could free what is served,
	 * and without the stores each returning prompt is prefilled again for as long as the platform's table is unavailable.
	 */
	#serve(): void {
		if (this.isHub()) {
			this.#heldAt = this.#now();
			this.#stores.keep(this.isDeputy ? [] : managedStores(this.#context.configuration.current), this.#parts.seat.grant?.row.fencingNumber ?? 0, this.#parts.seat.inherited);
		} else if (!this.#parts.seat.isUncontested) {
			this.#parts.seat.lose('it was not renewed in time');
			this.#stores.close();
		}

		if (this.isServing()) {
			const {configuration, endpoints} = this.#context;
			this.#engines.keep(readyEngines(configuration.current, endpoints.all()));
		} else {
			this.#endServing();
		}
	}

	#endServing(): void {
		this.#stores.close();
		this.#engines.close();
		this.server.dropAll();
	}

	#isQuestionDue(): boolean {
		return !this.isDeputy || !this.#parts.doesOtherAnswer() || this.#steps % stepsPerDeputyQuestion === 0;
	}

	/** Whether this instance must leave the lease of the standby to others: with both roles it would fail in both at once. */
	#isBarred(): boolean {
		return this.isDeputy && this.#parts.hasOtherDuty();
	}

	#patience(): number {
		const {client, cores, hasOtherDuty, otherDataCentre} = this.#parts;
		return dutyPatience({
			cores, mostCores: client.mostCores, hasOtherDuty: hasOtherDuty(), isBesideOther: otherDataCentre() === this.#context.dataCentre,
		});
	}

	/** From 0 up to 1, a different share for each instance. */
	get #ownShare(): number {
		return hashOf(this.#parts.instance) / (2 ** 32);
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
