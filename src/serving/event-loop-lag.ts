/**
 * Measures for how long the event loop has not polled for I/O.
 *
 * A process that was paused, or that is short of processor time, handles requests that have waited in their sockets. Their
 * callers may have disconnected since, but the close of a connection is read only after the request before it. The lag shows
 * a request handler whether to poll the sockets first.
 */
import process from 'node:process';
import {alignedDelay} from '../shared/aligned-delay.js';

const tickMilliseconds = 100;
/** Data that waited during a lag is read within this time after it: connections are accepted first, then read. */
const rememberedMilliseconds = 1000;

/** Returns the milliseconds of processor time that this process has used. */
function usedProcessorMilliseconds(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
}

export class EventLoopLag {
	readonly #now: () => number;
	readonly #report: (lagMilliseconds: number, processorMilliseconds: number) => void;
	readonly #processorTime: () => number;
	/** When the next tick is due. */
	#dueAt: number;
	#processorTimeAtTick = 0;
	/** The remembered lags, the latest last. One that a later and longer lag follows is dropped. */
	#lags: Array<{lag: number; at: number}> = [];
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param now - Returns milliseconds of a steady clock.
	 * @param report - Called with the lag of each tick, and the processor time that the process used since the tick before. A
	 *   lag with little processor time shows that the process was paused, or that others used the processor.
	 * @param processorTime - Returns the milliseconds of processor time that the process has used.
	 */
	constructor(now: () => number, report: (lagMilliseconds: number, processorMilliseconds: number) => void, processorTime = usedProcessorMilliseconds) {
		this.#now = now;
		this.#report = report;
		this.#processorTime = processorTime;
		this.#dueAt = now() + tickMilliseconds;
	}

	/** Starts to measure; the timer does not keep the process alive. */
	start(): void {
		this.#processorTimeAtTick = this.#processorTime();
		this.#schedule(this.#now());
	}

	stop(): void {
		clearTimeout(this.#timer);
	}

	/** By how much data that is read now may have been delayed, in milliseconds. */
	get current(): number {
		return this.at(this.#now());
	}

	/**
	 * Returns by how much data that is read now may have been delayed.
	 *
	 * @param now - Milliseconds of the steady clock.
	 * @returns Milliseconds: the time since the next tick was due, or the longest lag of the last second.
	 */
	at(now: number): number {
		const longest = this.#lags.find(({at}) => now - at <= rememberedMilliseconds)?.lag ?? 0;
		return Math.max(longest, this.#lateness(now));
	}

	#tick(now: number): void {
		const lag = this.#lateness(now);
		this.#schedule(now);
		this.#lags = this.#lags.filter(former => now - former.at <= rememberedMilliseconds && former.lag > lag);
		this.#lags.push({lag, at: now});
		const processorTime = this.#processorTime();
		const processorMilliseconds = processorTime - this.#processorTimeAtTick;
		this.#processorTimeAtTick = processorTime;
		this.#report(lag, processorMilliseconds);
	}

	/** Ticks fall on multiples of their interval, like other periodic work, so that they share its wake-ups. */
	#schedule(now: number): void {
		const delay = alignedDelay(now, tickMilliseconds);
		this.#dueAt = now + delay;
		this.#timer = setTimeout(() => {
			this.#tick(this.#now());
		}, delay).unref();
	}

	#lateness(now: number): number {
		return Math.max(0, now - this.#dueAt);
	}
}
