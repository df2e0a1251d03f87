/**
 * The slots of endpoints that this instance holds beside its requests in flight: those that it was granted and whose requests are not
 * sent yet, and those of requests that it has cancelled, which their endpoints may go on to serve for a moment. They count as
 * requests in flight in its reports, so that a coordinator grants no slot twice, and counts none twice.
 */
import {type EndpointLoad, noLoad} from '../../decision/placement/endpoint-load.js';

/** A request that was not sent by then is not sent any more: its caller has disconnected. */
const maxGrantedMilliseconds = 1000;
/** Within this time, most endpoints notice that a connection was closed. */
const cancelledMilliseconds = 500;

export class HeldSlots {
	/** Until when each slot is held, by endpoint, in milliseconds of the steady clock. */
	readonly #granted = new Map<string, number[]>();
	readonly #cancelled = new Map<string, number[]>();

	/** Records that a slot of an endpoint was granted. */
	hold(endpoint: string, now: number): void {
		append(this.#granted, endpoint, now + maxGrantedMilliseconds);
	}

	/** Records that a request was sent to an endpoint, and uses the earliest slot that was granted there. */
	use(endpoint: string): void {
		replace(this.#granted, endpoint, this.#granted.get(endpoint)?.slice(1) ?? []);
	}

	/** Records that a request at an endpoint was cancelled. */
	cancel(endpoint: string, now: number): void {
		append(this.#cancelled, endpoint, now + cancelledMilliseconds);
	}

	/** How many slots of an endpoint are held. */
	count(endpoint: string, now: number): number {
		let count = 0;
		for (const held of [this.#granted, this.#cancelled]) {
			const current = (held.get(endpoint) ?? []).filter(until => until > now);
			replace(held, endpoint, current);
			count += current.length;
		}

		return count;
	}

	/** Returns loads that include the held slots. */
	addTo(loads: ReadonlyMap<string, EndpointLoad>, now: number): Map<string, EndpointLoad> {
		const sums = new Map(loads);
		for (const endpoint of new Set([...this.#granted.keys(), ...this.#cancelled.keys()])) {
			const count = this.count(endpoint, now);
			if (count > 0) {
				const load = sums.get(endpoint) ?? noLoad;
				sums.set(endpoint, {...load, requests: load.requests + count});
			}
		}

		return sums;
	}
}

function append(held: Map<string, number[]>, endpoint: string, until: number): void {
	held.set(endpoint, [...(held.get(endpoint) ?? []), until]);
}

function replace(held: Map<string, number[]>, endpoint: string, until: number[]): void {
	if (until.length === 0) {
		held.delete(endpoint);
	} else {
		held.set(endpoint, until);
	}
}
