/**
 * What this instance knows of one endpoint: its own requests there, the load that the endpoint reported last, and whether
 * it fails.
 *
 * Load it answers: an endpoint that crashes, hangs or fails while its row in the list still says that it is ready.
 * Without it, an endpoint that refuses connections looks idle and draws every request.
 */
import {type EndpointLoad, toldRanks} from './endpoint-load.js';
import {type PlacementBasis, type ReportedLoad} from './placement.js';

/** After so many failures in a row the endpoint is left alone; a single one may be the request's own. */
const failuresToOpen = 2;
/** First pause; doubles with each failure behind it. A connection that fails is retried within a heartbeat or two. */
const firstPauseMilliseconds = 500;
const longestPauseMilliseconds = 8000;
/**
 * An endpoint that cannot be reached is asked for a connection this often, with no caller waiting for it; doubles up to the
 * longest. A restarted process is back within a second.
 */
const firstProbePauseMilliseconds = 200;
const longestProbePauseMilliseconds = 1000;
/** A report older than this says nothing of the present: a batch of short requests comes and goes in this time. */
const reportLifeMilliseconds = 2000;

/** A request of this instance at the endpoint. */
type UnderWay = {rank: number; sentAt: number; unreadTokens: number; heldTokens: number; isAnswered: boolean; basis: PlacementBasis};

/** How the first token of a request came. */
export type FirstToken = {basis: PlacementBasis; milliseconds: number};

export class EndpointOutlook {
	readonly #requests = new Map<string, UnderWay>();
	#report: ReportedLoad | undefined;
	#reportAt = 0;
	#sentSinceReport = 0;
	#failures = 0;
	#openUntil = 0;
	#heardAt = Number.NEGATIVE_INFINITY;
	#probe: {at: number; pause: number} | undefined;

	/** Requests of this instance under way. */
	get underWay(): number {
		return this.#requests.size;
	}

	/** Notes a send; `heldTokens` is its whole need of memory, `unreadTokens` what keeps the engine from reading others. */
	sent(id: string, {rank, heldTokens, unreadTokens, basis}: {rank: number; heldTokens: number; unreadTokens: number; basis: PlacementBasis}, now: number): void {
		this.#requests.set(id, {
			rank: Math.min(toldRanks - 1, rank), sentAt: now, unreadTokens, heldTokens, isAnswered: false, basis,
		});
		this.#sentSinceReport++;
	}

	/** Notes the first byte of an answer; gives how it came, if the request was sent from here. */
	answered(id: string, report: ReportedLoad | undefined, now: number): FirstToken | undefined {
		const request = this.#requests.get(id);
		if (request !== undefined) {
			request.isAnswered = true;
			request.unreadTokens = 0;
		}

		this.#heardAt = now;
		this.#probe = undefined;
		this.#failures = 0;
		this.#openUntil = 0;
		if (report !== undefined) {
			this.#report = report;
			this.#reportAt = now;
			this.#sentSinceReport = 0;
		}

		return request === undefined ? undefined : {basis: request.basis, milliseconds: now - request.sentAt};
	}

	/** Notes that bytes came. */
	heard(now: number): void {
		this.#heardAt = now;
	}

	ended(id: string): void {
		this.#requests.delete(id);
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

	/** Whether no connection to the endpoint comes about. */
	get isUnreachable(): boolean {
		return this.#probe !== undefined;
	}

	/** Notes that no connection came about, or that the endpoint fell silent. */
	unreachable(now: number): void {
		this.#probe ??= {at: now + firstProbePauseMilliseconds, pause: firstProbePauseMilliseconds};
	}

	isProbeDue(now: number): boolean {
		return this.#probe !== undefined && now >= this.#probe.at;
	}

	/** Notes how a try to connect ended. */
	probed(isReached: boolean, now: number): void {
		if (isReached || this.#probe === undefined) {
			this.#probe = undefined;
			return;
		}

		const pause = Math.min(longestProbePauseMilliseconds, 2 * this.#probe.pause);
		this.#probe = {at: now + pause, pause};
	}

	/** What this instance has under way there. */
	loadAt(now: number): EndpointLoad {
		const unreadTokens = Array.from({length: toldRanks}, () => 0);
		let heldTokens = 0;
		let oldest = now;
		for (const request of this.#requests.values()) {
			unreadTokens[request.rank]! += request.unreadTokens;
			heldTokens += request.heldTokens;
			oldest = request.isAnswered ? oldest : Math.min(oldest, request.sentAt);
		}

		return {
			requests: this.#requests.size, unreadTokens, heldTokens, oldestWaitMilliseconds: now - oldest, heardAgoMilliseconds: now - this.#heardAt,
		};
	}

	/** Requests running or waiting there by its last report; `undefined` if that is too old. */
	reportedOccupancy(now: number): number | undefined {
		return this.#report !== undefined && now - this.#reportAt < reportLifeMilliseconds
			? this.#report.running + this.#report.waiting + this.#sentSinceReport
			: undefined;
	}
}
