/**
 * Sends the events of this process to the collector, in frames over TCP. The data path only appends to a bounded buffer: if
 * the collector is slow or unreachable, events are dropped and counted, and the data path is never delayed.
 */
import {Socket} from 'node:net';
import {encodeFrame} from '../peer/framing/frame-codec.js';
import {type ProcessIdentity} from './logger.js';
import {type TimelineEntry, type TimelineEvent, type TimelineRecorder} from './timeline-event.js';

const maxBufferedEvents = 10_000;
const flushDelayMilliseconds = 50;
const reconnectDelayMilliseconds = 1000;
const maxBatchEvents = 500;
const closeTimeoutMilliseconds = 500;

/** The content of a frame to the collector. */
export type TimelineBatch = {
	events: TimelineEvent[];
	/** The start of the process, in milliseconds since the epoch. A restarted process counts its events from 1 again. */
	start: number;
	/** The number of events dropped since the start. */
	dropped: number;
};

export class TimelineSender implements TimelineRecorder {
	readonly #identity: ProcessIdentity;
	readonly #address: string;
	readonly #buffer: TimelineEvent[] = [];
	readonly #start = Date.now();
	#sequence = 0;
	#dropped = 0;
	#socket: Socket | undefined;
	#connected = false;
	#nextConnectAt = 0;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param identity - The identity of this process, which is added to every event.
	 * @param address - `IP:port` of the collector; if it is empty, all events are discarded.
	 */
	constructor(identity: ProcessIdentity, address: string) {
		this.#identity = identity;
		this.#address = address;
	}

	/** The number of events dropped since the start. */
	get dropped(): number {
		return this.#dropped;
	}

	record(entry: TimelineEntry): void {
		if (this.#address === '') {
			return;
		}

		this.#sequence++;
		if (this.#buffer.length >= maxBufferedEvents) {
			this.#dropped++;
			return;
		}

		this.#buffer.push({...entry, ...this.#identity, sequence: this.#sequence});
		this.#flushIn(flushDelayMilliseconds);
	}

	/** Sends buffered events until the connection applies back-pressure; connects first if necessary. */
	flush(now: number): void {
		if (!this.#connected) {
			this.#connect(now);
			return;
		}

		const socket = this.#socket!;
		while (this.#buffer.length > 0 && !socket.writableNeedDrain) {
			const batch: TimelineBatch = {events: this.#buffer.splice(0, maxBatchEvents), start: this.#start, dropped: this.#dropped};
			socket.write(encodeFrame(batch));
		}
	}

	/** Closes the connection after all written data is sent, or by a timeout, so that the collector cannot delay a shutdown. */
	async close(): Promise<void> {
		clearTimeout(this.#timer);
		const socket = this.#socket;
		if (socket === undefined || socket.destroyed) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				socket.destroy();
			}, closeTimeoutMilliseconds);
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

		this.#nextConnectAt = now + reconnectDelayMilliseconds;
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
			if (this.#buffer.length > 0) {
				this.#flushIn(reconnectDelayMilliseconds);
			}
		});
		socket.connect(Number(this.#address.slice(separator + 1)), this.#address.slice(0, separator));
	}
}
