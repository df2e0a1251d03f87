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
import {
	type FollowerFrame, type HubFrame, idleTimeoutMilliseconds, type PackedLoad,
} from './hub-messages.js';
import {type HubView} from './hub-view.js';

/** A question at least this often keeps knowledge fresh also when one answer is late. */
export const askMilliseconds = freshMilliseconds / 4;
/**
 * Before a prompt is placed the hub is asked for fresh news, where that takes no longer than this: a round trip within a
 * region takes a few milliseconds, and a prompt's first token some hundred. A hub farther away is asked at its pace only.
 */
const longestRoundTripMilliseconds = 10;
/** A caller waits no longer than this for the answer; the prompt is then placed by what is known. */
const mostWaitMilliseconds = 15;
/** A hub that has not answered two questions in a row is not waited for. */
const longestSilenceMilliseconds = 2.5 * askMilliseconds;
/** Weight of the newest round trip in the mean. */
const newestShare = 0.3;

/** What a follower tells of itself. */
export type FollowerSelf = {
	instance: string;
	loads(): Record<string, PackedLoad>;
};

/** News of what the other instances do, fresh at the moment of a decision. */
export interface PeerNews {
	/** Asks for news and waits for them, if that takes a few milliseconds only. */
	refresh(): Promise<void>;
	/** Tells the others what this instance has under way. */
	tell(): void;
}

export class HubClient implements PeerNews {
	readonly #view: HubView;
	readonly #self: FollowerSelf;
	readonly #clock: MomentClock;
	#socket: Socket | undefined;
	#address: string | undefined;
	#reader = new FrameReader();
	#number = 0;
	#asked = new Map<number, Moment>();
	#heardAt = 0;
	readonly #waiting = new Map<number, () => void>();
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

	/** Asks once, or closes a connection that has been idle for too long. */
	ask(): void {
		const now = this.#clock.moment();
		if (this.#socket === undefined) {
			return;
		}

		if (this.#isIdle()) {
			void this.#closeIfIdle(this.#socket);
			return;
		}

		this.#number++;
		this.#asked.set(this.#number, now);
		const frame: FollowerFrame = {
			kind: 'ask', number: this.#number, instance: this.#self.instance, uses: this.#view.takeUses(), loads: this.#self.loads(),
		};
		this.#socket.write(encodeFrame(frame));
	}

	async refresh(): Promise<void> {
		const silence = this.#clock.moment().steady - this.#heardAt;
		if (this.#socket === undefined || this.#roundTripMilliseconds > longestRoundTripMilliseconds || silence > longestSilenceMilliseconds) {
			return;
		}

		this.ask();
		const number = this.#number;
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.#answered(number);
			}, this.#waitMilliseconds);
			this.#waiting.set(number, () => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	tell(): void {
		const frame: FollowerFrame = {
			kind: 'tell', instance: this.#self.instance, uses: this.#view.takeUses(), loads: this.#self.loads(),
		};
		this.#socket?.write(encodeFrame(frame));
	}

	close(): void {
		for (const number of this.#waiting.keys()) {
			this.#answered(number);
		}

		this.#roundTripMilliseconds = Number.POSITIVE_INFINITY;
		this.#socket?.destroy();
		this.#socket = undefined;
		this.#asked = new Map();
		this.#view.reset();
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
		if (frame.kind === 'parts') {
			this.#view.takeParts(frame);
			return;
		}

		const askedAt = this.#asked.get(frame.number);
		this.#asked.delete(frame.number);
		if (askedAt !== undefined) {
			this.#noteRoundTrip(now.steady - askedAt.steady);
			this.#view.takeAnswer(frame, askedAt, now);
		}

		this.#answered(frame.number);
	}

	#noteRoundTrip(milliseconds: number): void {
		const mean = Number.isFinite(this.#roundTripMilliseconds) ? this.#roundTripMilliseconds : milliseconds;
		this.#roundTripMilliseconds = (newestShare * milliseconds) + ((1 - newestShare) * mean);
	}

	/** Lets the caller go on who waits for an answer. */
	#answered(number: number): void {
		const go = this.#waiting.get(number);
		this.#waiting.delete(number);
		go?.();
	}
}
