/**
 * A follower's connection to the coordinator. Queries are sent at a steady interval; a coordinator that does not answer is
 * dialled again, since a connection may be stuck while new ones work.
 */
import {type Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {unpackPaces} from '../../decision/pace/pace-report.js';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {type Moment, type MomentClock} from '../../ports/moment-clock.js';
import {reportValidityMilliseconds} from '../../protocol/blocks/block-times.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type SlotAnswer} from '../limits/brittle-services.js';
import {demandField} from '../shares/demand-field.js';
import {AnswerWaiters} from './answer-waiters.js';
import {
	type FollowerFrame, type CoordinatorFrame, idleTimeoutMilliseconds, emptyQuery, type PermitAnswer, type PermitQuery, type PlacementQuery,
} from './coordinator-messages.js';
import {type CoordinatorView} from './coordinator-view.js';
import {type LocalFollower} from './local-follower.js';
import {SentReports} from './report-relay.js';

/** Queries at this interval keep the view fresh also when one answer is late. */
export const queryIntervalMilliseconds = 0.375 * reportValidityMilliseconds;
/** A query about a prompt that was sent less than this before replaces a regular one. */
const minQueryGapMilliseconds = queryIntervalMilliseconds / 2;
/**
 * Before a prompt is placed, the coordinator is queried for where its blocks are cached and how loaded the engines are, if a
 * round trip takes no longer than this. A round trip within a region takes a few milliseconds, between small machines under
 * load some dozens; prefilling a long prompt again takes an engine some hundred, and delays all requests that wait there.
 */
const maxRoundTripMilliseconds = 100;
/** A caller waits no longer than this for the answer; the prompt is then placed by what is known. */
const maxWaitMilliseconds = 120;
/** The same for an answer about a slot, without which the request would be rejected. */
const maxSlotWaitMilliseconds = 250;
/** A coordinator that has not answered two queries in a row is not waited for. */
const maxAnswerAgeMilliseconds = 1.9 * queryIntervalMilliseconds;
/** Weight of the newest round trip in the moving average. */
const newestShare = 0.3;
/** The list of instances that answer questions about streams is asked for at this interval. */
const streamPeersIntervalMilliseconds = 2000;

/** What a query asks for beside the state of the other instances. */
type Asked = Pick<FollowerFrame & {kind: 'ask'}, 'permit' | 'slot'>;

export type CoordinatorClientOptions = {
	/** How long a caller waits for an answer. */
	waitMilliseconds?: number;
	/** Called with an exception that the coordinator's frame has caused; the connection is closed. */
	onFault?: (error: unknown) => void;
};

/** A query in flight. */
type PendingQuery = {sentAt: Moment; query: PlacementQuery; slot: Asked['slot']};

export class CoordinatorClient {
	readonly #view: CoordinatorView;
	readonly #follower: LocalFollower;
	readonly #clock: MomentClock;
	#socket: Socket | undefined;
	#address: string | undefined;
	#reader = new FrameReader();
	#number = 0;
	/** Number of the last query that was answered. */
	#answered = 0;
	#pending = new Map<number, PendingQuery>();
	#lastAnswerAt = 0;
	#lastQueryAt = Number.NEGATIVE_INFINITY;
	#maxCores = 0;
	#instances = 0;
	#isLapsed = false;
	#grantsSlots = false;
	#dataCentre: string | undefined;
	#streamPeersAskedAt = Number.NEGATIVE_INFINITY;
	readonly #sentCrashes = new SentReports();
	/** Position of the last reported pace. */
	#pacePosition = 0;
	readonly #waiters = new AnswerWaiters();
	/** Whether the last query that a caller waited for had no answer in time, and none has arrived since. */
	#isLate = false;
	#roundTripMilliseconds = Number.POSITIVE_INFINITY;

	readonly #waitMilliseconds: number;
	readonly #onFault: (error: unknown) => void;

	constructor(view: CoordinatorView, follower: LocalFollower, clock: MomentClock, {waitMilliseconds = maxWaitMilliseconds, onFault = ignore}: CoordinatorClientOptions = {}) {
		this.#onFault = onFault;
		this.#view = view;
		this.#follower = follower;
		this.#clock = clock;
		this.#waitMilliseconds = waitMilliseconds;
	}

	get isConnected(): boolean {
		return this.#socket !== undefined;
	}

	/** CPU cores of the largest machine that a coordinator has reported; 0 before. */
	get maxCores(): number {
		return this.#maxCores;
	}

	/** Whether the lease of the connected coordinator has lapsed. */
	get isLapsed(): boolean {
		return this.#isLapsed;
	}

	/** The coordinator's data centre; absent before it has answered. */
	get dataCentre(): string | undefined {
		return this.#dataCentre;
	}

	/** Whether an answer is likely to arrive soon enough to wait for it. */
	get isResponsive(): boolean {
		const answerAgeMilliseconds = this.#clock.moment().steady - this.#lastAnswerAt;
		return this.#socket !== undefined && this.#roundTripMilliseconds <= maxRoundTripMilliseconds && answerAgeMilliseconds <= maxAnswerAgeMilliseconds;
	}

	/** How many instances report to the coordinator, by its last answer; 0 before. */
	get instances(): number {
		return this.#instances;
	}

	/** Whether it can grant slots, as far as this instance knows. */
	get grantsSlots(): boolean {
		return this.#grantsSlots && !this.#isIdle();
	}

	/** The address that was dialled; absent without a connection. */
	get address(): string | undefined {
		return this.#socket === undefined ? undefined : this.#address;
	}

	/** Opens a connection to `IP:port`; the state of the previous connection is dropped. */
	dial(address: string): void {
		this.close();
		const separator = address.lastIndexOf(':');
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true});
		this.#socket = socket;
		this.#address = address;
		this.#reader = new FrameReader();
		this.#lastAnswerAt = this.#clock.moment().steady;
		this.#lastQueryAt = Number.NEGATIVE_INFINITY;
		this.#streamPeersAskedAt = Number.NEGATIVE_INFINITY;
		this.#sentCrashes.reset();
		this.#pacePosition = 0;
		const end = (): void => {
			if (this.#socket === socket) {
				this.close();
			}
		};

		socket.on('data', (bytes: Buffer) => {
			this.#reader.read(bytes).caseOf({
				Left: end,
				Right: frames => {
					for (const frame of frames) {
						this.#handleGuarded(frame, end);
					}
				},
			});
		});
		socket.on('error', end).on('close', end);
	}

	/** Sends a query if one is due, or closes a connection that has been idle for too long. */
	poll(): void {
		if (this.#socket === undefined) {
			return;
		}

		if (this.#isIdle()) {
			void this.#closeIfIdle(this.#socket);
			return;
		}

		if (this.#clock.moment().steady - this.#lastQueryAt >= minQueryGapMilliseconds) {
			this.#sendQuery({...emptyQuery, endpoints: this.#follower.watchedEndpoints()});
		}
	}

	/**
	 * Sends a query, and waits for the answer if that takes only a short time; returns whether it arrived. After a query without an
	 * answer in time no other caller waits before an answer has arrived: each of them would wait in vain.
	 *
	 * @param maxMilliseconds - How long the caller can wait.
	 */
	async refresh(query: PlacementQuery, maxMilliseconds = Number.POSITIVE_INFINITY): Promise<boolean> {
		if (this.#isLate || maxMilliseconds <= 0) {
			return false;
		}

		const socket = this.#socket;
		const wasResponsive = this.isResponsive;
		const answer = await this.#ask(query, {}, Math.min(maxMilliseconds, this.#waitMilliseconds));
		this.#isLate ||= wasResponsive && answer === undefined && maxMilliseconds >= this.#waitMilliseconds && this.#socket === socket;
		return answer !== undefined;
	}

	/** Asks to send one request to an endpoint with a limit; `undefined` without an answer in time. */
	async takePermit(permit: PermitQuery): Promise<PermitAnswer | undefined> {
		const answer = await this.#ask(emptyQuery, {permit});
		return answer?.permit;
	}

	/** Asks to send one request to an endpoint of a brittle service. One that has granted slots is asked also while it is slow. */
	async takeSlot(endpoint: string, slots: number): Promise<SlotAnswer> {
		if (!this.grantsSlots) {
			return 'unavailable';
		}

		this.#sendQuery(emptyQuery, {slot: {endpoint, slots}});
		const answer = await this.#waiters.wait(this.#number, maxSlotWaitMilliseconds);
		if (answer === undefined) {
			return this.grantsSlots ? 'late' : 'unavailable';
		}

		return answer.isSlotGranted === undefined ? 'unavailable' : (answer.isSlotGranted ? 'granted' : 'denied');
	}

	report(): void {
		const socket = this.#socket;
		if (socket === undefined) {
			return;
		}

		const frame: FollowerFrame = {kind: 'tell', ...this.#report()};
		socket.write(encodeFrame(frame));
	}

	close(): void {
		this.#waiters.resumeAll();
		this.#roundTripMilliseconds = Number.POSITIVE_INFINITY;
		this.#socket?.destroy();
		this.#socket = undefined;
		this.#pending = new Map();
		this.#isLapsed = false;
		this.#isLate = false;
		this.#grantsSlots = false;
		this.#dataCentre = undefined;
		this.#follower.closed();
	}

	/** Sends a query, and waits for the answer if that takes only a short time. */
	async #ask(query: PlacementQuery, asked: Asked = {}, waitMilliseconds = this.#waitMilliseconds): Promise<CoordinatorFrame | undefined> {
		if (!this.isResponsive) {
			return undefined;
		}

		this.#sendQuery(query, asked);
		return this.#waiters.wait(this.#number, waitMilliseconds);
	}

	#sendQuery(query: PlacementQuery, asked: Asked = {}): void {
		const now = this.#clock.moment();
		this.#number++;
		this.#lastQueryAt = now.steady;
		this.#pending.set(this.#number, {sentAt: now, query, slot: asked.slot});
		const frame: FollowerFrame = {
			kind: 'ask',
			...this.#report(),
			number: this.#number,
			sentAt: Math.round(now.steady),
			wantsRelays: this.#follower.wantsRelays(),
			about: query,
			places: this.#follower.cursors(),
			...this.#streamPeersQuery(now.steady),
			...asked,
		};
		this.#socket?.write(encodeFrame(frame));
	}

	#streamPeersQuery(now: number): Pick<FollowerFrame & {kind: 'ask'}, 'streamPeers'> {
		const streamPeers = now - this.#streamPeersAskedAt < streamPeersIntervalMilliseconds ? undefined : this.#follower.streamPeers();
		if (streamPeers === undefined) {
			return {};
		}

		this.#streamPeersAskedAt = now;
		return {streamPeers};
	}

	#report(): Omit<FollowerFrame & {kind: 'tell'}, 'kind'> {
		const {instance, cores} = this.#follower;
		const relay = this.#follower.relay();
		const brittle = this.#follower.brittle();
		const lacksSlots = this.#follower.lacksSlots();
		const crashes = this.#sentCrashes.take(this.#follower.unconfirmedCrashes());
		const {paces, position} = this.#follower.pacesAfter(this.#pacePosition);
		this.#pacePosition = position;
		return {
			instance,
			cores,
			uses: this.#follower.takeUses(),
			loads: this.#follower.loads(),
			countsHeldSlots: true,
			answered: this.#answered,
			...(relay === undefined ? {} : {relay}),
			...(brittle.length === 0 ? {} : {brittle}),
			...(lacksSlots ? {lacksSlots} : {}),
			...(crashes.length === 0 ? {} : {crashes}),
			...(paces.length === 0 ? {} : {paces}),
			...demandField(this.#follower.shares),
		};
	}

	#isIdle(): boolean {
		return this.#clock.moment().steady - this.#lastAnswerAt > idleTimeoutMilliseconds;
	}

	/** Reads what arrived while this process was paused first; otherwise each pause would close the connection. */
	async #closeIfIdle(socket: Socket): Promise<void> {
		await afterNextPoll();
		if (this.#socket === socket && this.#isIdle()) {
			this.close();
		}
	}

	/** Nothing catches an exception in an event listener: a frame of another program or release would end the process. */
	#handleGuarded(frame: unknown, end: () => void): void {
		try {
			this.#handleAnswer(frame as CoordinatorFrame);
		} catch (error) {
			this.#onFault(error);
			end();
		}
	}

	#handleAnswer(frame: CoordinatorFrame): void {
		const now = this.#clock.moment();
		this.#lastAnswerAt = now.steady;
		this.#isLate = false;
		this.#answered = frame.number;
		const pending = this.#pending.get(frame.number);
		this.#pending.delete(frame.number);
		if (pending !== undefined) {
			this.#noteRoundTrip(now.steady - pending.sentAt.steady);
			this.#view.applyAnswer(frame, pending.query, pending.sentAt, now);
			this.#maxCores = Math.max(this.#maxCores, frame.mostCores);
			this.#instances = frame.instances;
			this.#isLapsed = frame.isLapsed;
			this.#grantsSlots = frame.grantsSlots ?? true;
			this.#dataCentre = frame.dataCentre;
			// A grant that comes too late is not used.
			if (frame.isSlotGranted === true && pending.slot !== undefined && this.#waiters.has(frame.number)) {
				this.#follower.holdSlot(pending.slot.endpoint);
			}

			this.#follower.applyTableUpdates(frame.tables, pending.sentAt);
			if (frame.brittle !== undefined) {
				this.#follower.applyBrittle(frame.brittle);
			}

			if (frame.crashes !== undefined) {
				this.#follower.applyCrashes(frame.crashes);
			}

			if (frame.paces !== undefined) {
				// Counted from the sending of the query, as all that an answer tells: figures may be younger than that.
				this.#follower.applyPaces(unpackPaces(frame.paces, [...pending.query.endpoints, ...frame.parts.engines]), pending.sentAt.steady);
			}

			this.#follower.shares?.applyCrowded(frame.crowded ?? [], pending.sentAt.steady);
			if (frame.relays !== undefined) {
				this.#follower.applyRelays(frame.relays);
			}

			if (frame.streamPeers !== undefined) {
				this.#follower.applyStreamPeers(frame.streamPeers);
			}
		}

		this.#waiters.resume(frame.number, pending === undefined ? undefined : frame);
	}

	#noteRoundTrip(milliseconds: number): void {
		const mean = Number.isFinite(this.#roundTripMilliseconds) ? this.#roundTripMilliseconds : milliseconds;
		this.#roundTripMilliseconds = (newestShare * milliseconds) + ((1 - newestShare) * mean);
	}
}

function ignore(): void {
	// The closed connection is enough for callers that keep no log.
}
