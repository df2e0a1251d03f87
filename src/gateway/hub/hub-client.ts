/**
 * A follower's connection to the hub. Questions go out at a steady pace; a hub that does not answer is dialled anew, since
 * a connection may fall silent while new ones work.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {type Moment, type MomentClock} from '../../ports/moment-clock.js';
import {freshMilliseconds} from '../../protocol/parts/part-times.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type FeedNews, type FeedPlace} from '../watchers/feed-news.js';
import {
	type FollowerFrame, type HubFrame, idleTimeoutMilliseconds, noQuestion, type PackedLoad, type PlaceQuestion,
} from './hub-messages.js';
import {type HubView} from './hub-view.js';

/** A question at least this often keeps knowledge fresh also when one answer is late. */
export const askMilliseconds = 0.375 * freshMilliseconds;
/** A question about a prompt that was asked so shortly before takes the place of a steady one. */
const recentMilliseconds = askMilliseconds / 2;
/**
 * Before a prompt is placed the hub is asked where its parts are kept and what the engines have to do, where that takes no
 * longer than this. A round trip within a region takes a few milliseconds, between small machines at work some dozens;
 * reading a long prompt again takes an engine some hundred, and that of all who wait there.
 */
const longestRoundTripMilliseconds = 100;
/** A caller waits no longer than this for the answer; the prompt is then placed by what is known. */
const mostWaitMilliseconds = 120;
/** A hub that has not answered two questions in a row is not waited for. */
const longestSilenceMilliseconds = 1.9 * askMilliseconds;
/** Weight of the newest round trip in the mean. */
const newestShare = 0.3;

/** What a follower tells of itself. */
export type FollowerSelf = {
	instance: string;
	/** Cores that its machine gives it. */
	cores: number;
	loads(): Record<string, PackedLoad>;
	/** Gives, and forgets, the stored parts that it used since the last call. */
	takeUses(): string[];
	/** Hears that the connection ended. */
	closed(): void;
	/** Endpoints that are chosen by what the steady questions bring, without a question for each request. */
	watched(): string[];
	/** Where it stands in the tables that it follows, by table. */
	places(): Record<string, FeedPlace>;
	/** Takes what changed in those tables, by an answer to a question that was sent at `askedAt`. */
	takeTables(news: readonly FeedNews[], askedAt: Moment): void;
};

/** A question under way. */
type Asked = {at: Moment; about: PlaceQuestion};

/** News of what the other instances do, fresh at the moment of a decision. */
export interface PeerNews {
	/** Asks for news and waits for them, if that takes a short time only. */
	refresh(question: PlaceQuestion): Promise<void>;
	/** Tells the others what this instance has under way. */
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

	/** Cores of the largest machine that a hub has told of; 0 before. */
	get mostCores(): number {
		return this.#mostCores;
	}

	/** Whether the hub that is connected has lost its lease. */
	get isLapsed(): boolean {
		return this.#isLapsed;
	}

	/** Where the hub stands; absent before it answered. */
	get dataCentre(): string | undefined {
		return this.#dataCentre;
	}

	/** Whether it is worth waiting for an answer. */
	get isResponsive(): boolean {
		const silence = this.#clock.moment().steady - this.#heardAt;
		return this.#socket !== undefined && this.#roundTripMilliseconds <= longestRoundTripMilliseconds && silence <= longestSilenceMilliseconds;
	}

	/** How many instances a hub has told of last; 0 before. */
	get instances(): number {
		return this.#instances;
	}

	/** Where the hub was dialled; absent without a connection. */
	get address(): string | undefined {
		return this.#socket === undefined ? undefined : this.#address;
	}

	/** Opens a connection to `IP:port`; what was heard before is forgotten. */
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

	/** Asks at the steady pace, or closes a connection that has been idle for too long. */
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

	/** Asks, and waits for the answer if that takes a short time only; gives whether it came. */
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

	/** What came while this process stood still is read first, or it would lose its hub with each pause. */
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

	/** Lets the caller go on who waits for an answer. */
	#answered(number: number, isAnswered: boolean): void {
		const go = this.#waiting.get(number);
		this.#waiting.delete(number);
		go?.(isAnswered);
	}
}
