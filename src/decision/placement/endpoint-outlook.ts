/**
 * What this instance knows of one endpoint: its own requests there, the load that the endpoint reported last, and whether
 * it fails.
 *
 * Load it answers: an endpoint that crashes, hangs or fails while its row in the list still says that it is ready.
 * Without it, an endpoint that refuses connections looks idle and draws every request.
 */
import {type ReportedLoad} from './placement.js';

/** After so many failures in a row the endpoint is left alone; a single one may be the request's own. */
const failuresToOpen = 2;
/** First pause; doubles with each failure behind it. A connection that fails is retried within a heartbeat or two. */
const firstPauseMilliseconds = 500;
const longestPauseMilliseconds = 8000;
/** A report older than this says nothing of the present: a batch of short requests comes and goes in this time. */
const reportLifeMilliseconds = 2000;

export class EndpointOutlook {
	/** Requests of this instance that have no whole answer yet. */
	underWay = 0;
	/** Prompt tokens of those that have not begun to answer. */
	unreadTokens = 0;
	#load: ReportedLoad | undefined;
	#loadAt = 0;
	#sentSinceLoad = 0;
	#failures = 0;
	#openUntil = 0;

	sent(tokens: number): void {
		this.underWay++;
		this.unreadTokens += tokens;
		this.#sentSinceLoad++;
	}

	read(tokens: number): void {
		this.unreadTokens = Math.max(0, this.unreadTokens - tokens);
	}

	takeLoad(load: ReportedLoad, now: number): void {
		this.#load = load;
		this.#loadAt = now;
		this.#sentSinceLoad = 0;
	}

	ended(): void {
		this.underWay = Math.max(0, this.underWay - 1);
	}

	succeeded(): void {
		this.#failures = 0;
		this.#openUntil = 0;
	}

	failed(now: number): void {
		this.#failures++;
		if (this.#failures >= failuresToOpen) {
			const pause = firstPauseMilliseconds * (2 ** Math.min(6, this.#failures - failuresToOpen));
			this.#openUntil = now + Math.min(longestPauseMilliseconds, pause);
		}
	}

	/** Whether the endpoint is left alone for now. */
	isOpen(now: number): boolean {
		return now < this.#openUntil;
	}

	/** Requests running or waiting there, of all instances: the last report if it is recent, at least the own ones. */
	reportedOccupancy(now: number): number {
		const reported = this.#load !== undefined && now - this.#loadAt < reportLifeMilliseconds
			? this.#load.running + this.#load.waiting + this.#sentSinceLoad
			: 0;
		return Math.max(this.underWay, reported);
	}

	/** Requests that wait for a slot there, by the last recent report. */
	waiting(now: number): number {
		return this.#load !== undefined && now - this.#loadAt < reportLifeMilliseconds ? this.#load.waiting : 0;
	}
}
