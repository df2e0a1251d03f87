/**
 * The hub: one instance, by a lease, gathers hints that no instance can have alone, and tells them to all: what the cache
 * stores and the engines hold, and what all instances have under way at each endpoint.
 *
 * Weighed against it: each instance reading each store and engine itself, which stores and engines do not allow (a few
 * calls at a time from all instances together), and telling each other in a mesh, which costs each pair a connection.
 * When the hub dies or is cut off, another one takes the lease some seconds later. Meanwhile a deputy answers, an instance
 * with a lease of its own that follows the engines as well and keeps no stores.
 */
import {type CacheStoreControl} from '../../ports/cache-store-control.js';
import {hashOf} from '../../shared/hash-of.js';
import {type PartsChange} from '../../protocol/parts/store-ledger.js';
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

/** The lease is renewed when less than this is left of a grant, or less than the last renewals took. */
const renewMilliseconds = 750;
/**
 * A hub that could not renew its lease goes on telling hints for this long, unless it hears of another holder: a store that
 * is slow or away for seconds keeps others from taking over as well, and without hints prompts are read again everywhere.
 * What cache stores hold is told only as long as there can be no next holder, who may free it.
 */
const lapsedMilliseconds = 15_000;
/** While the hub's lease has lapsed, followers look for a new one at this pace; most find the store out of reach too. */
const lapsedLookMilliseconds = 1500;
/** Instances that miss the hub look for it, or take its place, spread over this time. */
const spreadMilliseconds = 600;
/** Instances that wait for the same lease to end try for it spread over this time. */
const takeoverSpreadMilliseconds = 150;
/** How long a dialled hub may take to answer before the row is read again. */
const dialMilliseconds = 700;

/** The deputy is asked at a slower pace while the hub answers: only its knowledge of loads is as old as that when it is needed. */
const stepsPerDeputyQuestion = 2;
/** The duty of the deputy is looked for when that of the hub has been taken. */
const deputyDelayMilliseconds = 1500;

/** Which of the two duties: to tell hints and keep the stores, or to tell hints while the hub does not answer. */
export type HubRole = 'hub' | 'hub-deputy';

/** What the hub knows of the instance. */
export type HubContext = Pick<GatewayContext, 'clock' | 'configuration' | 'dataCentre' | 'endpoints' | 'log'>;

/** What the hub is given. */
export type HubParts = {
	role: HubRole;
	instance: string;
	address: string;
	seat: DutySeat;
	client: HubClient;
	control: CacheStoreControl;
	/** Cores that this instance's machine gives it. */
	cores: number;
	/** What another instance that stands at some places in the tables hears of this one. */
	tableNews(places: Record<string, FeedPlace>): FeedNews[];
	/** Whether this instance has the other one of the two duties. */
	hasOtherDuty(): boolean;
	/** Whether the holder of the other duty answers. */
	doesOtherAnswer(): boolean;
	/** In which data centre the holder of the other duty stands, if that is known. */
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
		const tell = (holder: string, change: PartsChange): void => {
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

	/** Gives the duty back, for good: the process is about to end. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		this.#endServing();
		await this.#parts.seat.release();
	}

	/** Renews the duty or looks for its holder, and asks it. Calls to the store run beside the questions, which must not wait. */
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

	/** Whether followers are told anything: under the lease, and for a while behind it. */
	isServing(): boolean {
		const {seat, instance} = this.#parts;
		const isSucceeded = seat.seen !== undefined && seat.seen.holder !== instance;
		return !this.#isLeaving && (this.isHub() || (!isSucceeded && this.#now() - this.#heldAt < lapsedMilliseconds));
	}

	engineClock(): number | undefined {
		return this.#stores.engineClock() ?? this.#engines.engineClock();
	}

	/** A process that stood still answers before its next step; by then another hub may have freed parts. */
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

	/** How much later than others this instance tries for the duty, in milliseconds. */
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

	/** Reads the row: takes the duty if it is free, else dials its holder. */
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
	 * Keeps stores under the lease, and watches engines as long as followers are served. Behind the lease, while no other
	 * instance can hold it, stores are told of further and nothing is freed: only another holder could free what is told, and
	 * without the stores each returning prompt is read again for as long as the platform's table is away.
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

	/** Whether this instance must leave the duty to others: with both, it would be no help when it fails. */
	#isBarred(): boolean {
		return this.isDeputy && this.#parts.hasOtherDuty();
	}

	#patience(): number {
		const {client, cores, hasOtherDuty, otherDataCentre} = this.#parts;
		return dutyPatience({
			cores, mostCores: client.mostCores, hasOtherDuty: hasOtherDuty(), isBesideOther: otherDataCentre() === this.#context.dataCentre,
		});
	}

	/** From 0 up to 1, another one for each instance. */
	get #ownShare(): number {
		return hashOf(this.#parts.instance) / (2 ** 32);
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
