/** Counts the queries that a lagging coordinator has dropped, and writes at most one line a second about them. */
import {type GatewayContext} from '../gateway-context.js';
import {type CoordinatorRole} from './coordinator-messages.js';

const lineIntervalMilliseconds = 1000;

export class DroppedQueries {
	readonly #context: Pick<GatewayContext, 'log' | 'metrics'>;
	readonly #role: CoordinatorRole;
	#count = 0;
	#oldestMilliseconds = 0;
	#nextLineAt = Number.NEGATIVE_INFINITY;

	constructor(context: Pick<GatewayContext, 'log' | 'metrics'>, role: CoordinatorRole) {
		this.#context = context;
		this.#role = role;
	}

	/**
	 * Records dropped queries.
	 *
	 * @param count - How many.
	 * @param oldestMilliseconds - The age of the oldest one.
	 * @param now - Milliseconds of the steady clock.
	 */
	record(count: number, oldestMilliseconds: number, now: number): void {
		this.#context.metrics.droppedQueries.inc({role: this.#role}, count);
		this.#count += count;
		this.#oldestMilliseconds = Math.max(this.#oldestMilliseconds, oldestMilliseconds);
		if (now >= this.#nextLineAt) {
			this.#context.log.record('queries-dropped', {role: this.#role, count: this.#count, oldestMilliseconds: Math.round(this.#oldestMilliseconds)});
			this.#nextLineAt = now + lineIntervalMilliseconds;
			this.#count = 0;
			this.#oldestMilliseconds = 0;
		}
	}
}
