/**
 * The requests of this instance that wait for room. `src/decision/waiting` decides which of them wait and in which order; this
 * class tries the first ones again when something may have changed, and ends their waits.
 */
import {PlacedViews} from '../../decision/waiting/placed-views.js';
import {WaitingQueue} from '../../decision/waiting/waiting-queue.js';
import {type QueuedRequest, type WaitingRequest, type WaitOutlook} from '../../decision/waiting/waiting-request.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type Route} from '../../shared/routed-configuration.js';
import {type WaitingScope} from '../gateway-settings.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';
import {
	QueuedWait, type AnyWait, type PlaceQueued, type UnadmittedReason, type WaitEnd, type WaitOutcome,
} from './queued-wait.js';

/** Tries of a lane's first requests. */
type LaneTries = {isTrying: boolean; isAgain: boolean; triedAt: number; queriedAt: number};

type WaitStart = {signal: AbortSignal; since: number; refusedOutcome: WaitOutcome | undefined};

type Dependencies = {
	clock: Pick<MomentClock, 'moment'>;
	metrics: Pick<GatewayMetrics, 'waitingRequests' | 'waitOutcomes' | 'waits'>;
	/** Absent for all. */
	scope?: Exclude<WaitingScope, 'none'>;
	queue?: WaitingQueue;
};

/** Interval at which waits are checked for their end while requests wait. */
const checkIntervalMilliseconds = 25;
/** The first request of a lane is tried at least this often: endpoints may appear, rests and views may end. */
const tryIntervalMilliseconds = 100;
/** A query for a queued prompt replaces a regular one if it follows another by half of their interval, so that none are added. */
const minQueryGapMilliseconds = 150;

export class WaitingRequests {
	readonly views = new PlacedViews();
	readonly #dependencies: Dependencies;
	readonly #queue: WaitingQueue;
	readonly #waits = new Map<string, AnyWait>();
	readonly #tries = new Map<string, LaneTries>();
	#isScheduled = false;
	#isStopping = false;
	#number = 0;

	constructor(dependencies: Dependencies) {
		this.#dependencies = dependencies;
		this.#queue = dependencies.queue ?? new WaitingQueue();
	}

	/** Whether requests of a route may wait. */
	includes({carriesPrompt}: Pick<Route, 'carriesPrompt'>): boolean {
		return !carriesPrompt || this.#dependencies.scope !== 'calls';
	}

	/** Number of requests that wait. */
	get size(): number {
		return this.#waits.size;
	}

	/** Returns an id for a request; those that callers name may be used twice. */
	nextId(): string {
		this.#number++;
		return String(this.#number);
	}

	/** Whether a request must not be placed yet, since one that goes before it waits. */
	mustYield(request: WaitingRequest): boolean {
		return this.#queue.mustYield(request, this.#now());
	}

	/** Whether the rank of a request is the least urgent one of its service, and requests of a more urgent one were seen. */
	isLeastUrgent(request: WaitingRequest): boolean {
		return this.#queue.isLeastUrgent(request);
	}

	/** What is known of the wait that a request would have. */
	outlook(request: WaitingRequest): WaitOutlook {
		return this.#queue.outlook(request, this.#now());
	}

	/** Records that a request was placed without a wait. */
	notePlaced(request: WaitingRequest): void {
		this.#queue.noteAdmitted(request, this.#now());
	}

	/**
	 * Records that an attempt which its endpoint accepted has ended, and tries the first requests of its lane.
	 *
	 * @param firstByteMilliseconds - Time from its sending to the first byte of its answer; `undefined` without an answer.
	 */
	noteEnded(request: WaitingRequest, endpoint: string, firstByteMilliseconds: number | undefined): void {
		this.views.noteEnded(endpoint);
		if (firstByteMilliseconds !== undefined) {
			this.#queue.noteServed(request, firstByteMilliseconds);
		}

		void this.#tryLane(request.lane);
	}

	/** Tries the first requests of all lanes: the view of the other instances' load has changed. */
	noteView(): void {
		for (const lane of this.#queue.lanes()) {
			void this.#tryLane(lane);
		}
	}

	/**
	 * Queues a request until there is room, or returns at once if it is not to wait.
	 *
	 * @param request - The request.
	 * @param place - Tries to place it.
	 * @param signal - Aborts when the request needs no endpoint any more.
	 * @param refusedOutcome - What is counted if it does not find room, in place of the reason.
	 */
	async wait<Found>(request: WaitingRequest, place: PlaceQueued<Found>, signal: AbortSignal, refusedOutcome?: WaitOutcome): Promise<WaitEnd<Found>> {
		if (signal.aborted) {
			return {kind: 'cancelled'};
		}

		const since = this.#now();
		const decision = this.#isStopping ? undefined : this.#queue.arrive(request, since);
		this.#endAll(decision?.kind === 'wait' ? decision.displaced : [], 'displaced');
		if (decision?.kind !== 'wait') {
			const reason = this.#isStopping ? 'stopped' : 'refused-at-once';
			this.#dependencies.metrics.waitOutcomes.inc({reason: refusedOutcome ?? reason});
			return {
				kind: 'unadmitted', reason, outlook: decision?.outlook ?? this.outlook(request), waitedMilliseconds: 0,
			};
		}

		const wait = this.#start(request, place, {signal, since, refusedOutcome});
		this.#waits.set(request.id, wait);
		this.#showSize(request);
		this.#schedule();
		return wait.end;
	}

	/** Refuses all that waits, and lets nothing wait from now on. */
	stop(): void {
		this.#isStopping = true;
		this.#endAll(this.#queue.all(), 'stopped');
	}

	#start<Found>(request: WaitingRequest, place: PlaceQueued<Found>, {signal, since, refusedOutcome}: WaitStart): QueuedWait<Found> {
		return new QueuedWait(place, {
			signal,
			describe: () => ({outlook: this.outlook(request), waitedMilliseconds: this.#now() - since}),
			ended: end => {
				const now = this.#now();
				const outcome = end === 'expired' ? refusedOutcome ?? end : end;
				const {metrics} = this.#dependencies;
				this.#waits.delete(request.id);
				if (end === 'admitted') {
					this.#queue.noteAdmitted(request, now);
				} else {
					this.#queue.remove(request, now);
				}

				metrics.waitOutcomes.inc({reason: outcome});
				metrics.waits.observe({outcome}, (now - since) / 1000);
				this.#showSize(request);
			},
		});
	}

	/** Ends the waits that have lasted too long, and tries lanes that were not tried for a while. */
	#check(): void {
		const now = this.#now();
		this.#endAll(this.#queue.expire(now), 'expired');
		const lanes = new Set(this.#queue.lanes());
		for (const lane of lanes) {
			if (now - this.#triesOf(lane).triedAt >= tryIntervalMilliseconds) {
				void this.#tryLane(lane);
			}
		}

		for (const [lane, {isTrying}] of this.#tries) {
			if (!isTrying && !lanes.has(lane)) {
				this.#tries.delete(lane);
			}
		}
	}

	/** The timer runs only while requests wait. */
	#schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		setTimeout(() => {
			this.#isScheduled = false;
			this.#check();
			if (this.#waits.size > 0) {
				this.#schedule();
			}
		}, checkIntervalMilliseconds);
	}

	/** Places the first requests of a lane until there is no room. */
	async #tryLane(lane: string): Promise<void> {
		if (this.#queue.next(lane, this.#now()).length === 0) {
			return;
		}

		const tries = this.#triesOf(lane);
		tries.isAgain = tries.isTrying;
		if (tries.isTrying) {
			return;
		}

		tries.isTrying = true;
		try {
			do {
				tries.isAgain = false;
				while (await this.#tryFirst(lane, tries)) {
					// The next one is tried.
				}
			} while (tries.isAgain);
		} finally {
			tries.isTrying = false;
		}
	}

	/** Returns whether a wait has ended. */
	async #tryFirst(lane: string, tries: LaneTries): Promise<boolean> {
		const now = this.#now();
		tries.triedAt = now;
		for (const {id} of this.#queue.next(lane, now)) {
			const mayQuery = now - tries.queriedAt >= minQueryGapMilliseconds;
			tries.queriedAt = mayQuery ? now : tries.queriedAt;
			if (await this.#waits.get(id)?.place(mayQuery)) {
				return true;
			}
		}

		return false;
	}

	#triesOf(lane: string): LaneTries {
		let tries = this.#tries.get(lane);
		if (tries === undefined) {
			const now = this.#now();
			tries = {
				isTrying: false, isAgain: false, triedAt: now, queriedAt: now,
			};
			this.#tries.set(lane, tries);
		}

		return tries;
	}

	#endAll(requests: readonly QueuedRequest[], reason: UnadmittedReason): void {
		for (const {id} of requests) {
			this.#waits.get(id)?.refuse(reason);
		}
	}

	#showSize({service, rank}: WaitingRequest): void {
		const count = this.#queue.all().filter(request => request.service === service && request.rank === rank).length;
		this.#dependencies.metrics.waitingRequests.set({service, rank}, count);
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}
