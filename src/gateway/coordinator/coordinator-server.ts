/**
 * The coordinator's side of the connections to its followers. It listens from the start, but accepts followers only while this
 * instance serves them: under the lease, or for a while after it has lapsed.
 */
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {SharedPaces} from '../../decision/pace/shared-paces.js';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type CoordinatorShares} from '../shares/coordinator-shares.js';
import {type FeedUpdate, type FeedCursor} from '../watchers/feed-update.js';
import {type RelayReport} from '../relay/relay-messages.js';
import {StreamPeerLists, type StreamPeerQuery} from '../streams/stream-peer-list.js';
import {
	type FollowerFrame, type CoordinatorFrame, idleTimeoutMilliseconds, type PackedLoad, type PermitQuery, type BlocksAnswer, type PlacementQuery,
} from './coordinator-messages.js';
import {BrittleObservations} from './brittle-observations.js';
import {type CrashReportWriter, type KeyedReport, ReportRelay} from './report-relay.js';
import {GrantableSlots} from './grantable-slots.js';
import {PermitGrants} from './permit-grants.js';
import {SlotAnswers, type SlotMoment} from './slot-answers.js';
import {StandbySlots} from './standby-slots.js';
import {LoadTotals} from './load-totals.js';
import {QueryQueue} from './query-queue.js';

/** What the server needs from the coordinator to answer queries. */
export interface CoordinatorSource {
	/** Whether this is the standby, which manages no stores. */
	readonly isStandby: boolean;
	readonly dataCentre: string;
	/** CPU cores of this instance's machine. */
	readonly cores: number;
	/** Absent at the standby, and where the settings enable no shares. */
	readonly shares?: Pick<CoordinatorShares, 'note' | 'answer' | 'reset'> | undefined;
	/** Absent at the standby, which leaves the writing to the coordinator and to the followers themselves. */
	readonly reportWriter?: CrashReportWriter | undefined;
	/** Whether this instance holds the lease now. */
	holdsLease(): boolean;
	/** Whether followers are served, under the lease or for a while after it has lapsed. */
	isServing(): boolean;
	/** The term in which this instance alone may grant permits; `undefined` if it may not. */
	permitTerm(): number | undefined;
	/** The term in which this instance may grant slots, as the coordinator or as the standby; `undefined` if it may not. */
	slotTerm(): number | undefined;
	engineClock(): number | undefined;
	/** Stores that blocks may be saved to and fetched from, and the tokens that they hold. */
	openStores(): Array<[store: string, heldTokens: number]>;
	/** Where the queried blocks are cached; `requestsAt` returns the requests in flight at an engine. */
	locateBlocks(query: PlacementQuery, requestsAt: (engine: string) => number): BlocksAnswer;
	/** Changes in the tables after a follower's positions. */
	tableUpdates(cursors: Record<string, FeedCursor>): FeedUpdate[];
	recordUses(keys: readonly string[]): void;
	/** Called for each request that an instance may send to an endpoint with a limit. */
	recordPermit(instance: string, term: number, permit: PermitQuery): void;
	/** Called after queries have been dropped, with the age of the oldest one in milliseconds. */
	recordDropped(count: number, oldestMilliseconds: number): void;
	/** Called with an exception that a follower's frame has caused; its connection is closed. */
	recordFault(error: unknown): void;
}

/** A follower that does not read is disconnected; it dials again and receives the whole state. */
const maxQueuedBytes = 1_048_576;

const idleCheckMilliseconds = 400;

/** Relays that an answer names: enough to choose among, also when some of them fail. */
const maxRelays = 8;

type Follower = {
	instance: string;
	relay?: RelayReport | undefined;
	/** What it last reported; it does not report it in each frame. */
	streamPeers?: StreamPeerQuery | undefined;
	cores: number;
	/** Which reports of crashes it has received. */
	crashPosition: number;
	/** When its last complete frame arrived, in milliseconds of the steady clock. */
	lastSeenAt: number;
};

export class CoordinatorServer implements Child {
	readonly name: string;
	readonly #address: string;
	readonly #source: CoordinatorSource;
	readonly #clock: MomentClock;
	readonly #server: Server;
	readonly #followers = new Map<Socket, Follower>();
	readonly #loads = new LoadTotals();
	#permits = new PermitGrants();
	#permitTerm: number | undefined;
	readonly #slots: SlotAnswers;
	readonly #brittle = new BrittleObservations();
	readonly #crashes = new ReportRelay();
	readonly #paces = new SharedPaces();
	#nextRelay = 0;
	#idleCheck: NodeJS.Timeout | undefined;
	/** CPU cores of the largest machine; absent until it is asked for, and after a change of the followers. */
	#largestCores: number | undefined;
	readonly #streamPeers = new StreamPeerLists();
	readonly #queries = new QueryQueue<Socket>({
		now: () => this.#now(),
		answer: (socket, frame) => {
			this.#guard(socket, () => {
				this.#answer(socket, frame);
			});
		},
		recordDropped: (count, oldestMilliseconds) => {
			this.#source.recordDropped(count, oldestMilliseconds);
		},
	});

	/** @param address - `IP:port` to listen at. */
	constructor(address: string, source: CoordinatorSource, clock: MomentClock) {
		this.name = source.isStandby ? 'hub-deputy-server' : 'hub-server';
		this.#address = address;
		this.#source = source;
		this.#slots = new SlotAnswers(source.isStandby ? new StandbySlots() : new GrantableSlots(), this.#loads);
		this.#clock = clock;
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
	}

	async run(signal: AbortSignal): Promise<void> {
		const separator = this.#address.lastIndexOf(':');
		this.#server.listen(Number(this.#address.slice(separator + 1)), this.#address.slice(0, separator));
		await once(this.#server, 'listening');
		if (!signal.aborted) {
			await once(signal, 'abort');
		}

		this.dropAll();
		this.#server.close();
	}

	/** Closes all connections: this instance no longer serves followers. */
	dropAll(): void {
		for (const socket of this.#followers.keys()) {
			this.#drop(socket);
		}

		this.#source.shares?.reset();
	}

	#accept(socket: Socket): void {
		if (!this.#source.isServing()) {
			socket.destroy();
			return;
		}

		const reader = new FrameReader();
		this.#followers.set(socket, {
			instance: '', cores: 0, crashPosition: 0, lastSeenAt: this.#now(),
		});
		// Runs only while there are followers: most instances never have any.
		this.#idleCheck ??= setInterval(() => {
			void this.#closeIdle();
		}, idleCheckMilliseconds);
		socket.setNoDelay(true);
		const end = (): void => {
			this.#drop(socket);
		};

		socket.on('data', (bytes: Buffer) => {
			reader.read(bytes).caseOf({
				Left: end,
				Right: frames => {
					for (const frame of frames) {
						this.#guard(socket, () => {
							this.#handleFrame(socket, frame as FollowerFrame);
						});
					}
				},
			});
		});
		socket.on('error', end).on('close', end);
	}

	/** Nothing catches an exception in an event listener: a frame of another program or release would end the process. */
	#guard(socket: Socket, step: () => void): void {
		try {
			step();
		} catch (error) {
			this.#source.recordFault(error);
			this.#drop(socket);
		}
	}

	#handleFrame(socket: Socket, frame: FollowerFrame): void {
		if (!this.#source.isServing()) {
			socket.destroy();
			return;
		}

		const follower = this.#followers.get(socket);
		if (follower === undefined) {
			return;
		}

		const {instance, cores, relay} = frame;
		const now = this.#now();
		if (cores !== follower.cores) {
			this.#largestCores = undefined;
		}

		follower.instance = instance;
		follower.cores = cores;
		follower.relay = relay;
		follower.streamPeers = (frame.kind === 'ask' ? frame.streamPeers : undefined) ?? follower.streamPeers;
		follower.lastSeenAt = now;
		this.#loads.set(instance, frame.loads);
		const {answered = Number.POSITIVE_INFINITY, countsHeldSlots = false, lacksSlots = false} = frame;
		this.#slots.noteReport(instance, {answered, countsHeldSlots, lacksSlots}, now);
		this.#brittle.note(frame.brittle ?? [], now);
		if (frame.crashes !== undefined) {
			this.#source.reportWriter?.adopt(frame.crashes);
			this.#crashes.add(frame.crashes, now);
		}

		if (frame.paces !== undefined) {
			this.#paces.note(instance, frame.paces, now);
		}

		this.#source.shares?.note(frame.demand, now);
		this.#source.recordUses(frame.uses);
		if (frame.kind === 'ask') {
			this.#queries.receive(socket, frame, now);
		}
	}

	/**
	 * Closes connections that are idle for too long. An instance that lost its power or was cut off closes none, and the
	 * requests that it reported would count at its endpoints for as long as TCP retries. What arrived while this process was
	 * paused is read first; otherwise a pause would close all connections.
	 */
	async #closeIdle(): Promise<void> {
		await afterNextPoll();
		const now = this.#now();
		for (const [socket, {lastSeenAt}] of this.#followers) {
			if (now - lastSeenAt > idleTimeoutMilliseconds) {
				this.#drop(socket);
			}
		}
	}

	/** Keeps the loads of an instance that has reconnected meanwhile: they belong to its new connection. */
	#drop(socket: Socket): void {
		const instance = this.#followers.get(socket)?.instance;
		this.#followers.delete(socket);
		this.#queries.remove(socket);
		this.#largestCores = undefined;
		socket.destroy();
		if (this.#followers.size === 0) {
			clearInterval(this.#idleCheck);
			this.#idleCheck = undefined;
		}

		if (instance !== undefined && [...this.#followers.values()].every(follower => follower.instance !== instance)) {
			this.#loads.remove(instance);
			this.#slots.remove(instance);
		}
	}

	#answer(socket: Socket, {
		number, instance, about, loads, places, permit, slot, wantsRelays = false, streamPeers,
	}: FollowerFrame & {kind: 'ask'}): void {
		// A query may have waited for its answer.
		if (!this.#source.isServing()) {
			socket.destroy();
			return;
		}

		const clock = this.#source.engineClock();
		const blocks = this.#source.locateBlocks(about, engine => this.#loads.requestsAt(engine));
		// Most answers have none of the optional fields; spreading an object for each of them takes longer than all others.
		const answer: Omit<CoordinatorFrame, 'loads'> & {loads: ReadonlyMap<string, Readonly<PackedLoad>>} = {
			kind: 'answer',
			number,
			isDeputy: this.#source.isStandby,
			dataCentre: this.#source.dataCentre,
			isLapsed: !this.#source.holdsLease(),
			open: this.#source.openStores(),
			loads: this.#loadsWithout(instance, [about.endpoints, blocks.engines, Object.keys(loads)]),
			parts: blocks,
			tables: this.#source.tableUpdates(places),
			mostCores: this.#maxCores(),
			instances: this.#followers.size,
			grantsSlots: this.#slots.canGrant(this.#slotMoment()),
		};
		if (clock !== undefined) {
			answer.clock = clock;
		}

		const crowded = this.#source.shares?.answer(this.#now());
		Object.assign(answer, this.#answerPermit(instance, permit), this.#answerSlot(instance, number, slot), this.#crashesFor(socket), this.#pacesFor(instance, about, blocks), crowded);

		if (this.#brittle.size > 0) {
			answer.brittle = this.#brittle.reports(this.#now());
		}

		if (wantsRelays) {
			answer.relays = this.#relaysFor(instance);
		}

		if (streamPeers !== undefined) {
			answer.streamPeers = this.#streamPeers.answer(streamPeers, () => this.#streamPeerQueries(), this.#now());
		}

		this.#write(socket, encodeFrame(answer));
	}

	/**
	 * The loads of all instances but one, at each of these endpoints. In an object, two dozen names in another order for each
	 * answer make V8 create a hidden class for each of them, which took a fifth of the time of an answer.
	 */
	#loadsWithout(instance: string, lists: readonly string[][]): ReadonlyMap<string, Readonly<PackedLoad>> {
		const loads = new Map<string, Readonly<PackedLoad>>();
		for (const endpoints of lists) {
			for (const endpoint of endpoints) {
				if (!loads.has(endpoint)) {
					loads.set(endpoint, this.#loads.totalWithout(endpoint, instance));
				}
			}
		}

		return loads;
	}

	/** Grants no permits when another coordinator may grant the same ones. What an earlier term left unused is not granted. */
	#answerPermit(instance: string, query: PermitQuery | undefined): Pick<CoordinatorFrame, 'permit'> {
		const term = this.#source.permitTerm();
		if (query === undefined || term === undefined) {
			return {};
		}

		if (term !== this.#permitTerm) {
			this.#permits = new PermitGrants();
			this.#permitTerm = term;
		}

		const permit = this.#permits.answer(query, this.#now());
		// Many are granted while endpoints warm up; each has a line at the instance that sends the request.
		if (permit === 'granted' && query.kind !== 'warm-up') {
			this.#source.recordPermit(instance, term, query);
		}

		return {permit};
	}

	#answerSlot(instance: string, number: number, slot: (FollowerFrame & {kind: 'ask'})['slot']): Pick<CoordinatorFrame, 'isSlotGranted'> {
		const isSlotGranted = slot === undefined ? undefined : this.#slots.answer({...slot, instance, number}, this.#slotMoment());
		return isSlotGranted === undefined ? {} : {isSlotGranted};
	}

	#slotMoment(): SlotMoment {
		return {term: this.#source.slotTerm(), connected: this.#followers.size, now: this.#now()};
	}

	/** The reports of crashes that a follower has not received. */
	#crashesFor(socket: Socket): {crashes?: KeyedReport[]} {
		const follower = this.#followers.get(socket);
		const {reports, position} = this.#crashes.after(follower?.crashPosition ?? 0, this.#source.reportWriter?.isUnwritten);
		if (follower !== undefined) {
			follower.crashPosition = position;
		}

		return reports.length === 0 ? {} : {crashes: reports};
	}

	/** The paces at the queried endpoints and at those that have the blocks. */
	#pacesFor(instance: string, {endpoints}: PlacementQuery, {engines}: BlocksAnswer): Pick<CoordinatorFrame, 'paces'> {
		const paces = this.#paces.answer(instance, [endpoints, engines], this.#now());
		return paces.length === 0 ? {} : {paces};
	}

	/** The relays that reach the most endpoints, from another one on in each answer so that all are used. */
	#relaysFor(instance: string): RelayReport[] {
		const relays = [...this.#followers.values()].flatMap(follower => follower.relay === undefined || follower.instance === instance ? [] : [follower.relay]);
		const start = this.#nextRelay++ % Math.max(1, relays.length);
		return [...relays.slice(start), ...relays.slice(0, start)].toSorted((left, right) => left.unreachable - right.unreachable).slice(0, maxRelays);
	}

	#streamPeerQueries(): StreamPeerQuery[] {
		return [...this.#followers.values()].flatMap(({streamPeers}) => streamPeers === undefined ? [] : [streamPeers]);
	}

	#maxCores(): number {
		this.#largestCores ??= Math.max(this.#source.cores, ...[...this.#followers.values()].map(({cores}) => cores));
		return this.#largestCores;
	}

	#now(): number {
		return this.#clock.moment().steady;
	}

	#write(socket: Socket, bytes: Uint8Array): void {
		if (socket.writableLength > maxQueuedBytes) {
			socket.destroy();
			return;
		}

		socket.write(bytes);
	}
}
