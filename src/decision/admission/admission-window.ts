/**
 * How many requests that can wait one instance may have under way at a service, found from the endpoints' load reports.
 *
 * Load it answers: work that can wait arriving faster than it is done, through many instances that do not know of each
 * other. Without it every prompt is at an engine at once: batches and accelerator memory fill, an urgent prompt finds no
 * place, and what waits can no longer be put in fair order. Reports lag, and prompts whose prefixes are still being
 * fetched are in none of them, so counting free places gives the same place away again and again (measured: 460,000
 * tokens before one engine). The window is found instead as congestion control finds one: it grows by little while the
 * endpoints have room, and shrinks by a share while they are pressed, so that instances which share endpoints come to
 * equal windows without a word.
 */
import {silenceLimitMilliseconds} from '../routing/is-candidate.js';
import {type EndpointView} from '../routing/routing-policy.js';
import {type ServiceCapacity} from './admission-policy.js';

/** Prefill that an engine should have before it: it covers the lag of a report, and the next report comes before it ran dry. */
export const prefillTargetMilliseconds = 700;
/** Share of an engine's batch that may be filled before work that can wait waits here; urgent prompts find the rest. */
export const batchTargetShare = 0.7;
/** Share of accelerator memory that running prompts may take; the rest keeps prefixes and takes urgent prompts. */
export const memoryTargetShare = 0.6;
/**
 * A piece may take this many times its time on an idle link. Beyond, more fetches at once bring nothing sooner: they
 * fill accelerator memory with prefixes that are evicted before their prompt starts, and urgent fetches wait.
 */
export const linkTargetSlowness = 2.5;
/** Growth of the window per report: with 15 instances and two reports a second, three places a second in all. */
const growthPlaces = 0.1;
/** The window shrinks by this share per report and unit of pressure above the target, and by at most a fifth. */
const shrinkShare = 0.3;
const mostShrink = 0.2;
const leastWindow = 0.05;
/** One pressed endpoint counts for ten at most, so that a single slow one cannot stop a whole service. */
const mostPressure = 10;
/** Urgent prompts may queue this many times the batch at the engines, which order them before all others. */
const urgentBatchShare = 1.5;

/** What an instance has under way at a service. */
export type WindowUse = {
	/** Requests that can wait and are admitted and not ended. */
	underWay: number;
	/** Instances that send to the same endpoints. */
	instances: number;
	/** Times that a store's link is slower than when idle, by this instance's own fetches; 1 without any. */
	linkSlowness: number;
	/** Rounds parts of a place, from 0 up to, and without, 1; spread evenly over instances and calls. */
	dither: number;
};

export class AdmissionWindow {
	readonly #service: string;
	#window: number | undefined;

	constructor(service: string) {
		this.#service = service;
	}

	/**
	 * Takes a round of load reports. It is called once per round: twice from the same reports would move it twice.
	 *
	 * @param endpoints - What is known of the endpoints, of this service and others.
	 * @param use - What this instance has under way.
	 * @param now - Milliseconds since the epoch.
	 * @returns How many requests may be under way from now on.
	 */
	takeReports(endpoints: readonly EndpointView[], use: WindowUse, now: number): ServiceCapacity {
		let batches = 0;
		let pressure = 0;
		let count = 0;
		for (const {service, state, heardAt, load} of endpoints) {
			if (service === this.#service && state === 'live' && load !== undefined && now - heardAt <= silenceLimitMilliseconds) {
				const prefill = 1000 * load.waitingPrefillTokens / Math.max(1, load.prefillTokensPerSecond) / prefillTargetMilliseconds;
				const batch = (load.runningRequests + load.waitingRequests) / Math.max(1, load.batchLimit) / batchTargetShare;
				// A cache that is full of kept prefixes is no pressure; one that keeps a request from starting is.
				const memory = load.waitingRequests > 0 && load.kvTokensCapacity > 0 ? load.kvTokensUsed / load.kvTokensCapacity / memoryTargetShare : 0;
				pressure += Math.min(mostPressure, Math.max(prefill, batch, memory));
				batches += load.batchLimit;
				count++;
			}
		}

		const instances = Math.max(1, use.instances);
		const most = (batches * batchTargetShare / instances) + 1;
		this.#move(Math.max(count === 0 ? 0 : pressure / count, use.linkSlowness / linkTargetSlowness), use, most);
		return {
			places: Math.floor(this.#window! + use.dither),
			urgentPlaces: Math.ceil(batches * urgentBatchShare / instances) + 1,
		};
	}

	#move(pressure: number, {underWay}: WindowUse, most: number): void {
		const window = this.#window ?? most / 2;
		if (pressure > 1) {
			this.#window = Math.max(leastWindow, window * (1 - Math.min(mostShrink, shrinkShare * (pressure - 1))));
		} else if (underWay + 1 >= window) {
			this.#window = Math.min(most, window + growthPlaces);
		} else {
			// An unused window does not grow: a burst after a quiet hour would otherwise meet no limit at all.
			this.#window = Math.min(most, window);
		}
	}
}
