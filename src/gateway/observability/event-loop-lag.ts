/**
 * Measures for how long the event loop has not looked for I/O.
 *
 * A process that was paused, or that is short of processor time, acts on requests that have waited in their sockets. Their
 * callers may have left meanwhile, and the close of a connection is read after the request before it. Whoever acts on a
 * request can tell from the lag whether to look first.
 */
import {type MomentClock} from '../../ports/moment-clock.js';
import {type DecisionLog} from './decision-log.js';
import {type GatewayMetrics} from './gateway-metrics.js';

const tickMilliseconds = 50;
/** What waited during a lag is read within this time after it: connections are accepted first, then read. */
const rememberedMilliseconds = 1000;
/** A longer lag gets a line in the log. */
const reportedMilliseconds = 200;

export class EventLoopLag {
	readonly #clock: MomentClock;
	readonly #log: Pick<DecisionLog, 'record'>;
	readonly #metrics: Pick<GatewayMetrics, 'eventLoopLag'>;
	#tickedAt: number;
	#longest = {lag: 0, at: Number.NEGATIVE_INFINITY};
	#timer: NodeJS.Timeout | undefined;

	constructor(clock: MomentClock, log: Pick<DecisionLog, 'record'>, metrics: Pick<GatewayMetrics, 'eventLoopLag'>) {
		this.#clock = clock;
		this.#log = log;
		this.#metrics = metrics;
		this.#tickedAt = clock.moment().steady;
	}

	/** Begins to measure; holds no process that is done otherwise. */
	start(): void {
		this.#tickedAt = this.#clock.moment().steady;
		this.#timer = setInterval(() => {
			this.#tick(this.#clock.moment().steady);
		}, tickMilliseconds).unref();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/**
	 * Gives the lag with which something that is read now may be read.
	 *
	 * @param now - Milliseconds of the steady clock.
	 * @returns Milliseconds: the time since the last tick was due, or the longest lag of the last second.
	 */
	at(now: number): number {
		return Math.max(now - this.#longest.at <= rememberedMilliseconds ? this.#longest.lag : 0, this.#lateness(now));
	}

	#tick(now: number): void {
		const lag = this.#lateness(now);
		this.#tickedAt = now;
		if (lag >= this.#longest.lag || now - this.#longest.at > rememberedMilliseconds) {
			this.#longest = {lag, at: now};
		}

		this.#metrics.eventLoopLag.observe(lag / 1000);
		if (lag >= reportedMilliseconds) {
			this.#log.record('event-loop-late', {milliseconds: Math.round(lag)});
		}
	}

	#lateness(now: number): number {
		return Math.max(0, now - this.#tickedAt - tickMilliseconds);
	}
}
