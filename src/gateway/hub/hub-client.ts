/**
 * A follower's connection to the coordinator. Queries are sent at a steady interval; a coordinator that does not answer is
 * dialled again, since a connection may be stuck while new ones work.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {type Moment, type MomentClock} from '../../ports/moment-clock.js';
import {reportValidityMilliseconds} from '../../protocol/blocks/block-times.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type FeedNews, type FeedPlace} from '../watchers/feed-news.js';
import {
	type FollowerFrame, type HubFrame, idleTimeoutMilliseconds, noQuestion, type PackedLoad, type PlaceQuestion,
} from './hub-messages.js';
import {type HubView} from './hub-view.js';

/** Queries at this interval keep the view fresh also when one answer is late. */
export const askMilliseconds = 0.375 * reportValidityMilliseconds;
/** A query about a prompt that was sent less than this before replaces a regular one. */
const recentMilliseconds = askMilliseconds / 2;
/**
 * Before a prompt is placed, the coordinator is queried for where its blocks are cached and how loaded the engines are, if a
 * round trip takes no longer than this. A round trip within a region takes a few milliseconds, between small machines under
 * load some dozens; prefilling a long prompt again takes an engine some hundred, and delays all requests that wait there.
 */
const longestRoundTripMilliseconds = 100;
/** A caller waits no longer than this for the answer; the prompt is then placed by what is known. */
const mostWaitMilliseconds = 120;
/** A coordinator that has not answered two queries in a row is not waited for. */
const longestSilenceMilliseconds = 1.9 * askMilliseconds;
/** Weight of the newest round trip in the moving average. */
const newestShare = 0.3;

/** The local instance: what the client reports about it, and where the client delivers what it receives. */
export type FollowerSelf = {
	instance: string;
	/** CPU cores that its machine gives it. */
	cores: number;
	loads(): Record<string, PackedLoad>;
	/** Returns the stored blocks used since the last call, and clears them. */
	takeUses(): string[];
	/** Called when the connection has ended. */
	closed(): void;
	/** Endpoints whose loads come with the regular queries, so that a request to them needs no query of its own. */
	watched(): string[];
	/** The position in each table that it follows. */
	places(): Record<string, FeedPlace>;
	/** Applies table changes from the answer to a query that was sent at `queriedAt`. */
	takeTables(news: readonly FeedNews[], askedAt: Moment): void;
};

/** A query in flight. */
type Asked = {at: Moment; about: PlaceQuestion};

/** Exchanges state with the other instances, so that it is fresh at the time of a decision. */
export interface PeerNews {
	/** Queries the state of the other instances, and waits for the answer if that takes only a short time. */
	refresh(question: PlaceQuestion): Promise<void>;
	/** Reports this instance's requests in flight. */
	tell(): void;
}

export class HubClient {
	readonly #view: HubView;
	readonly #self: FollowerSelf;
	readonly #clock: MomentClock;
	#socket: Socket | undefined;
	#address: string | undefined;
	#reader = new FrameReader();
	#number = 0;
	#asked = new Map<number, Asked>();
	#heardAt = 0;
	#askedAt = Number.NEGATIVE_INFINITY;
	#mostCores = 0;
	#instances = 0;
	#isLapsed = false;
	#dataCentre: string | undefined;
	readonly #waiting = new Map<number, (isAnswered: boolean) => void>();
	#roundTripMilliseconds = Number.POSITIVE_INFINITY;

	readonly #waitMilliseconds: number;

	constructor(view: HubView, self: FollowerSelf, clock: MomentClock, waitMilliseconds = mostWaitMilliseconds) {
		this.#view = view;
		this.#self = self;
		this.#clock = clock;
		this.#waitMilliseconds = waitMilliseconds;
	}

	get isConnected(): boolean {
		return this.#socket !== undefined;
	}

	/** CPU cores of the largest machine that a coordinator has reported; 0 before. */
	get mostCores(): number {
		return this.#mostCores;
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
		const silence = this.#clock.moment().steady - this.#heardAt;
		return this.#socket !== undefined && this.#roundTripMilliseconds <= longestRoundTripMilliseconds && silence <= longestSilenceMilliseconds;
	}

	/** How many instances report to the coordinator, by its last answer; 0 before. */
	get instances(): number {
		return this.#instances;
	}

	/** The address that was dialled; absent without a connection. */
	get address(): string | undefined {
		return this.#socket === undefined ? undefined : this.#address;
	}

	/** Opens a connection to `IP:port`; the state of the one before is dropped. */
	dial(address: string): void {
		this.close();
		const separator = address.lastIndexOf(':');
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true});
		this.#socket = socket;
		this.#address = address;
		this.#reader = new FrameReader();
		this.#heardAt = this.#clock.moment().steady;
		this.#askedAt = Number.NEGATIVE_INFINITY;
		const end = (): void => {
			if (this.#socket === socket) {
				this.close();
			}
		};

		socket.on('data', (bytes: Uint8Array) => {
			this.#reader.read(Buffer.from(bytes)).caseOf({
				Left: end,
				Right: frames => {
					for (const frame of frames) {
						this.#take(frame as HubFrame);
					}
				},
			});
		});
		socket.on('error', end).on('close', end);
	}

	/** Sends a query if one is due, or closes a connection that has been idle for too long. */
	ask(): void {
		if (this.#socket === undefined) {
			return;
		}

		if (this.#isIdle()) {
			void this.#closeIfIdle(this.#socket);
			return;
		}

		if (this.#clock.moment().steady - this.#askedAt >= recentMilliseconds) {
			this.#ask({...noQuestion, endpoints: this.#self.watched()});
		}
	}

	/** Sends a query, and waits for the answer if that takes only a short time; returns whether it arrived. */
	async refresh(question: PlaceQuestion): Promise<boolean> {
		if (!this.isResponsive) {
			return false;
		}

		this.#ask(question);
		const number = this.#number;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#answered(number, false);
			}, this.#waitMilliseconds);
			this.#waiting.set(number, isAnswered => {
				clearTimeout(timer);
				resolve(isAnswered);
			});
		});
	}

	tell(): void {
		const frame: FollowerFrame = {
			kind: 'tell', instance: this.#self.instance, cores: this.#self.cores, uses: this.#self.takeUses(), loads: this.#self.loads(),
		};
		this.#socket?.write(encodeFrame(frame));
	}

	close(): void {
		for (const number of this.#waiting.keys()) {
			this.#answered(number, false);
		}

		this.#roundTripMilliseconds = Number.POSITIVE_INFINITY;
		this.#socket?.destroy();
		this.#socket = undefined;
		this.#asked = new Map();
		this.#isLapsed = false;
		this.#dataCentre = undefined;
		this.#self.closed();
	}

	#ask(about: PlaceQuestion): void {
		const now = this.#clock.moment();
		this.#number++;
		this.#askedAt = now.steady;
		this.#asked.set(this.#number, {at: now, about});
		const {instance, cores} = this.#self;
		const frame: FollowerFrame = {
			kind: 'ask', number: this.#number, instance, cores, uses: this.#self.takeUses(), loads: this.#self.loads(), about, places: this.#self.places(),
		};
		this.#socket?.write(encodeFrame(frame));
	}

	#isIdle(): boolean {
		return this.#clock.moment().steady - this.#heardAt > idleTimeoutMilliseconds;
	}

	/** Reads what arrived while this process was paused first; otherwise each pause would close the connection. */
	async #closeIfIdle(socket: Socket): Promise<void> {
		await afterNextPoll();
		if (this.#socket === socket && this.#isIdle()) {
			this.close();
		}
	}

	#take(frame: HubFrame): void {
		const now = this.#clock.moment();
		this.#heardAt = now.steady;
		const asked = this.#asked.get(frame.number);
		this.#asked.delete(frame.number);
		if (asked !== undefined) {
			this.#noteRoundTrip(now.steady - asked.at.steady);
			this.#view.takeAnswer(frame, asked.about, asked.at, now);
			this.#mostCores = Math.max(this.#mostCores, frame.mostCores);
			this.#instances = frame.instances;
			this.#isLapsed = frame.isLapsed;
			this.#dataCentre = frame.dataCentre;
			this.#self.takeTables(frame.tables, asked.at);
		}

		this.#answered(frame.number, asked !== undefined);
	}

	#noteRoundTrip(milliseconds: number): void {
		const mean = Number.isFinite(this.#roundTripMilliseconds) ? this.#roundTripMilliseconds : milliseconds;
		this.#roundTripMilliseconds = (newestShare * milliseconds) + ((1 - newestShare) * mean);
	}

	/** Resumes the caller that waits for an answer. */
	#answered(number: number, isAnswered: boolean): void {
		const go = this.#waiting.get(number);
		this.#waiting.delete(number);
		go?.(isAnswered);
	}
}
