/**
 * Determines how many non-urgent requests one instance may have in flight at a service, from the endpoints' load reports.
 *
 * Non-urgent work may arrive faster than it is done, through many instances that do not coordinate. Without a bound every
 * prompt is at an engine at once: batches and accelerator memory fill, an urgent prompt finds no slot, and waiting
 * prompts can no longer be put in fair order. Reports lag, and prompts whose prefixes are still being fetched are in none
 * of them, so an instance that counted free slots would give the same slot away again and again (460,000 tokens were
 * queued in front of one engine).
 *
 * The window works like a congestion window instead: it grows slowly while the endpoints have capacity, and shrinks by a
 * share while they are under pressure, so that instances which share endpoints converge to equal windows without
 * communication.
 */
import {unresponsiveAfterMilliseconds} from '../routing/is-candidate.js';
import {type EndpointView} from '../routing/routing-policy.js';
import {type ServiceCapacity} from './admission-policy.js';

/**
 * Prefill that an engine should have queued: it covers the lag of a report, so the next one arrives before the engine is
 * idle.
 */
export const prefillTargetMilliseconds = 700;
/** Share of an engine's batch that may be filled before non-urgent work waits here; the rest is left to urgent prompts. */
export const batchTargetShare = 0.7;
/** Share of accelerator memory that running prompts may take; the rest holds cached prefixes and takes urgent prompts. */
export const memoryTargetShare = 0.6;
/**
 * Target for the transfer time of a block, as a multiple of its time on an idle link. Above it, more concurrent fetches
 * finish nothing sooner: they fill accelerator memory with prefixes that are evicted before their prompt starts, and
 * urgent fetches wait.
 */
export const linkTargetSlowness = 2.5;
/**
 * Growth of the window per report, in requests: with 15 instances and two reports a second, three requests a second in
 * all.
 */
const growthRequests = 0.1;
/** The window shrinks by this share per report and unit of pressure above the target, and by at most a fifth. */
const shrinkShare = 0.3;
const maxShrink = 0.2;
const minWindow = 0.05;
/** Bound on the pressure of one endpoint, so that a single slow one cannot stop a whole service. */
const maxPressure = 10;
/** Urgent prompts may queue this many times the batch at the engines, which order them before all others. */
const urgentBatchShare = 1.5;

/** How much of a service an instance uses. */
export type WindowUse = {
	/** Non-urgent requests that were admitted and have not ended. */
	inFlight: number;
	/** Number of instances that send to the same endpoints. */
	instances: number;
	/** How many times slower a store's link is than when idle, by this instance's own fetches; 1 without any. */
	linkSlowness: number;
	/**
	 * Added to the window before it is rounded down, from 0 up to, and without, 1; spread evenly over instances and
	 * calls.
	 */
	dither: number;
};

export class AdmissionWindow {
	readonly #service: string;
	#window: number | undefined;

	constructor(service: string) {
		this.#service = service;
	}

	/**
	 * Adjusts the window to a round of load reports. Called once per round: a second call with the same reports would
	 * adjust it twice.
	 *
	 * @param endpoints - What is known of the endpoints, of this service and others.
	 * @param use - What this instance has in flight.
	 * @param now - Milliseconds since the epoch.
	 * @returns How many requests may be in flight from now on.
	 */
	applyReports(endpoints: readonly EndpointView[], use: WindowUse, now: number): ServiceCapacity {
		let batches = 0;
		let pressure = 0;
		let count = 0;
		for (const {service, state, heardAt, load} of endpoints) {
			if (service === this.#service && state === 'live' && load !== undefined && now - heardAt <= unresponsiveAfterMilliseconds) {
				const prefill = 1000 * load.waitingPrefillTokens / Math.max(1, load.prefillTokensPerSecond) / prefillTargetMilliseconds;
				const batch = (load.runningRequests + load.waitingRequests) / Math.max(1, load.batchLimit) / batchTargetShare;
				// Memory that is full of cached prefixes is no pressure unless it keeps a request from starting.
				const memory = load.waitingRequests > 0 && load.kvTokensCapacity > 0 ? load.kvTokensUsed / load.kvTokensCapacity / memoryTargetShare : 0;
				pressure += Math.min(maxPressure, Math.max(prefill, batch, memory));
				batches += load.batchLimit;
				count++;
			}
		}

		const instances = Math.max(1, use.instances);
		const maxWindow = (batches * batchTargetShare / instances) + 1;
		this.#adjust(Math.max(count === 0 ? 0 : pressure / count, use.linkSlowness / linkTargetSlowness), use, maxWindow);
		return {
			maxRequests: Math.floor(this.#window! + use.dither),
			maxUrgentRequests: Math.ceil(batches * urgentBatchShare / instances) + 1,
		};
	}

	#adjust(pressure: number, {inFlight}: WindowUse, maxWindow: number): void {
		const window = this.#window ?? maxWindow / 2;
		if (pressure > 1) {
			this.#window = Math.max(minWindow, window * (1 - Math.min(maxShrink, shrinkShare * (pressure - 1))));
		} else if (inFlight + 1 >= window) {
			this.#window = Math.min(maxWindow, window + growthRequests);
		} else {
			// An unused window does not grow; otherwise a burst after a quiet hour would meet no limit at all.
			this.#window = Math.min(maxWindow, window);
		}
	}
}
