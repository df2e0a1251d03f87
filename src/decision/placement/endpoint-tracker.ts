/**
 * What this instance knows of one endpoint: its own requests there, the load that the endpoint reported last, and whether
 * it fails.
 *
 * An endpoint may crash, hang or fail while its row in the list still says that it is ready. Without this state, an
 * endpoint that refuses connections would look idle and attract every request.
 */
import {type PaceFigure} from '../pace/pace-model.js';
import {type EndpointLoad, noLoad, rankCount} from './endpoint-load.js';
import {type PlacementBasis, type ReportedLoad} from './placement.js';

/** Consecutive failures that open the circuit; a single one may be the request's own. */
const failuresToOpen = 2;
/**
 * How long the circuit is open at first; doubles with each further failure. A failed connection is retried within a
 * heartbeat or two.
 */
const firstOpenMilliseconds = 500;
const maxOpenMilliseconds = 8000;
/**
 * First interval between connection attempts to an unreachable endpoint, with no caller waiting for them; doubles up to
 * the longest. A restarted process is back within a second.
 */
const firstProbeIntervalMilliseconds = 200;
const maxProbeIntervalMilliseconds = 1000;
/** Older load reports are ignored: a batch of short requests comes and goes in this time. */
const reportLifetimeMilliseconds = 2000;
/**
 * An equal figure of a time this close to the known one is the same figure, that another instance has passed on: its time
 * is known only up to the delay of a frame.
 */
const sameFigureMilliseconds = 50;

/** A request of this instance in flight at the endpoint. */
type InFlightRequest = {rank: number; sentAt: number; pendingPrefillTokens: number; heldTokens: number; isAnswered: boolean; basis: PlacementBasis};

/** The delay of a request's first token, and the basis of its placement. */
export type FirstToken = {basis: PlacementBasis; milliseconds: number};

export class EndpointTracker {
	readonly #requests = new Map<string, InFlightRequest>();
	#report: ReportedLoad | undefined;
	#reportAt = 0;
	#sentSinceReport = 0;
	#failures = 0;
	#openUntil = 0;
	#lastByteAt = Number.NEGATIVE_INFINITY;
	#pace: PaceFigure | undefined;
	#probe: {at: number; interval: number} | undefined;

	/** Number of this instance's requests in flight. */
	get inFlight(): number {
		return this.#requests.size;
	}

	/** The last figure of the endpoint's pace. */
	get pace(): PaceFigure | undefined {
		return this.#pace;
	}

	/** Takes a figure of the endpoint's pace; returns whether it is newer than the last one. */
	notePace(figure: PaceFigure): boolean {
		const known = this.#pace;
		if (known !== undefined && figure.at <= known.at + (figure.factor === known.factor ? sameFigureMilliseconds : 0)) {
			return false;
		}

		this.#pace = figure;
		return true;
	}

	/**
	 * Records a send. `heldTokens` is the request's whole need of memory, `unreadTokens` the prefill that keeps the
	 * engine from prefilling others.
	 */
	sent(id: string, {rank, heldTokens, unreadTokens, basis}: {rank: number; heldTokens: number; unreadTokens: number; basis: PlacementBasis}, now: number): void {
		this.#requests.set(id, {
			rank: Math.min(rankCount - 1, rank), sentAt: now, pendingPrefillTokens: unreadTokens, heldTokens, isAnswered: false, basis,
		});
		this.#sentSinceReport++;
	}

	/** Records the first byte of an answer. Returns its delay if the request was sent from here. */
	answered(id: string, report: ReportedLoad | undefined, now: number): FirstToken | undefined {
		const request = this.#requests.get(id);
		if (request !== undefined) {
			request.isAnswered = true;
			request.pendingPrefillTokens = 0;
		}

		this.#lastByteAt = now;
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

	/** Records that bytes arrived. */
	received(now: number): void {
		this.#lastByteAt = now;
	}

	ended(id: string): void {
		this.#requests.delete(id);
	}

	failed(now: number): void {
		this.#failures++;
		if (this.#failures >= failuresToOpen) {
			const openMilliseconds = firstOpenMilliseconds * (2 ** Math.min(6, this.#failures - failuresToOpen));
			this.#openUntil = now + Math.min(maxOpenMilliseconds, openMilliseconds);
		}
	}

	/** Whether the circuit is open: the endpoint gets no requests for now. */
	isCircuitOpen(now: number): boolean {
		return now < this.#openUntil;
	}

	/** Whether connections to the endpoint fail. */
	get isUnreachable(): boolean {
		return this.#probe !== undefined;
	}

	/** Records that a connection failed, or that the endpoint became unresponsive. */
	unreachable(now: number): void {
		this.#probe ??= {at: now + firstProbeIntervalMilliseconds, interval: firstProbeIntervalMilliseconds};
	}

	isProbeDue(now: number): boolean {
		return this.#probe !== undefined && now >= this.#probe.at;
	}

	/** Records the outcome of a connection attempt. */
	probed(isReached: boolean, now: number): void {
		if (isReached || this.#probe === undefined) {
			this.#probe = undefined;
			return;
		}

		const pause = Math.min(maxProbeIntervalMilliseconds, 2 * this.#probe.interval);
		this.#probe = {at: now + pause, interval: pause};
	}

	forgetFailures(): void {
		this.#probe = undefined;
		this.#failures = 0;
		this.#openUntil = 0;
	}

	/** How long the oldest request of this instance without a byte of its answer has waited, as in its load. */
	oldestWaitMilliseconds(now: number): number {
		let oldest = now;
		for (const {isAnswered, sentAt} of this.#requests.values()) {
			oldest = isAnswered ? oldest : Math.min(oldest, sentAt);
		}

		return now - oldest;
	}

	/** Time since the last byte from the endpoint to this instance, as in its load. */
	lastByteAgoMilliseconds(now: number): number {
		return now - this.#lastByteAt;
	}

	/** The load of this instance at the endpoint. */
	loadAt(now: number): EndpointLoad {
		const pendingPrefillTokens = [...noLoad.pendingPrefillTokens];
		let heldTokens = 0;
		let oldest = now;
		for (const request of this.#requests.values()) {
			pendingPrefillTokens[request.rank]! += request.pendingPrefillTokens;
			heldTokens += request.heldTokens;
			oldest = request.isAnswered ? oldest : Math.min(oldest, request.sentAt);
		}

		return {
			requests: this.#requests.size, pendingPrefillTokens, heldTokens, oldestWaitMilliseconds: now - oldest, lastByteAgoMilliseconds: now - this.#lastByteAt,
		};
	}

	/** Requests running or waiting there by its last report, with those sent since; `undefined` if the report is too old. */
	reportedOccupancy(now: number): number | undefined {
		return this.#report !== undefined && now - this.#reportAt < reportLifetimeMilliseconds
			? this.#report.running + this.#report.waiting + this.#sentSinceReport
			: undefined;
	}
}
