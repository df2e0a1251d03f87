/**
 * Sends the events of this process to the collector over TCP frames. The data path only appends to a bounded buffer; a
 * collector that is slow or gone costs events, which are counted, and never time.
 */
import {Socket} from 'node:net';
import {encodeFrame} from '../peer/framing/frame-codec.js';
import {type ProcessIdentity} from './logger.js';
import {type TimelineEntry, type TimelineEvent, type TimelineRecorder} from './timeline-event.js';

const bufferLimitEvents = 10_000;
const flushMilliseconds = 50;
const reconnectMilliseconds = 1000;
const batchLimitEvents = 500;
const closeMilliseconds = 500;

/** What one frame to the collector carries. */
export type TimelineBatch = {
	events: TimelineEvent[];
	/** When the process started, in milliseconds since the epoch: a restarted process counts its events from 1 again. */
	start: number;
	/** Events of this process start that were dropped so far. */
	dropped: number;
};

export class TimelineSender implements TimelineRecorder {
	readonly #identity: ProcessIdentity;
	readonly #address: string;
	readonly #waiting: TimelineEvent[] = [];
	readonly #start = Date.now();
	#sequence = 0;
	#dropped = 0;
	#socket: Socket | undefined;
	#connected = false;
	#nextConnectAt = 0;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param identity - Who this process is.
	 * @param address - `IP:port` of the collector; empty drops all events.
	 */
	constructor(identity: ProcessIdentity, address: string) {
		this.#identity = identity;
		this.#address = address;
	}

	/** How many events were dropped since the start. */
	get dropped(): number {
		return this.#dropped;
	}

	record(entry: TimelineEntry): void {
		if (this.#address === '') {
			return;
		}

		this.#sequence++;
		if (this.#waiting.length >= bufferLimitEvents) {
			this.#dropped++;
			return;
		}

		this.#waiting.push({...entry, ...this.#identity, sequence: this.#sequence});
		this.#flushIn(flushMilliseconds);
	}

	/** Sends what waits, as far as the connection takes it. */
	flush(now: number): void {
		if (!this.#connected) {
			this.#connect(now);
			return;
		}

		const socket = this.#socket!;
		while (this.#waiting.length > 0 && !socket.writableNeedDrain) {
			const batch: TimelineBatch = {events: this.#waiting.splice(0, batchLimitEvents), start: this.#start, dropped: this.#dropped};
			socket.write(encodeFrame(batch));
		}
	}

	/** Resolves when what was sent has left, or after a short time, so that a stuck collector holds up no shutdown. */
	async close(): Promise<void> {
		clearTimeout(this.#timer);
		const socket = this.#socket;
		if (socket === undefined || socket.destroyed) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				socket.destroy();
			}, closeMilliseconds);
			socket.once('close', () => {
				clearTimeout(timer);
				resolve();
			});
			socket.end();
		});
	}

	#flushIn(milliseconds: number): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			this.flush(Date.now());
		}, milliseconds).unref();
	}

	#connect(now: number): void {
		if (this.#socket !== undefined || now < this.#nextConnectAt) {
			return;
		}

		this.#nextConnectAt = now + reconnectMilliseconds;
		const separator = this.#address.lastIndexOf(':');
		const socket = new Socket();
		this.#socket = socket;
		socket.unref();
		socket.once('connect', () => {
			this.#connected = true;
			this.flush(now);
		});
		socket.on('drain', () => {
			this.flush(now);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('close', () => {
			this.#connected = false;
			this.#socket = undefined;
			if (this.#waiting.length > 0) {
				this.#flushIn(reconnectMilliseconds);
			}
		});
		socket.connect(Number(this.#address.slice(separator + 1)), this.#address.slice(0, separator));
	}
}
