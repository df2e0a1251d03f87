/**
 * Finds the endpoint of a request's next attempt, and lets the request wait where no endpoint has room.
 *
 * A plain call that an endpoint has rejected as full waits for a free slot before its next attempt: all of its attempts would be
 * used up within some milliseconds otherwise. If no slot is known to have become free, it is sent nevertheless, since what is
 * known of plain endpoints is older than the work of a call.
 */
import {hasRoomForQueued} from '../../decision/waiting/has-room-for-queued.js';
import {retryDelay} from '../../decision/waiting/retry-delay.js';
import {type WaitingRequest, type WaitOutlook} from '../../decision/waiting/waiting-request.js';
import {type Refusal} from '../../shared/types.js';
import {type AttemptResult} from '../data-path/attempt-result.js';
import {type FoundEndpoint, type SearchResult} from '../data-path/endpoint-search.js';
import {type RequestAttempts} from '../data-path/request-attempts.js';
import {type GatewayContext} from '../gateway-context.js';
import {ShareAdmission} from '../shares/share-admission.js';
import {type UnadmittedReason, type WaitEnd, type WaitOutcome} from './queued-wait.js';
import {type RoomSearchInputs} from './room-search-inputs.js';
import {waitingRequestOf} from './waiting-request-of.js';
import {type WaitingRequests} from './waiting-requests.js';

/** The refusal of a request that more urgent ones wait before. */
const yieldedRefusal: Refusal = {reason: 'overloaded', ran: 'not-run', message: 'no endpoint of the service can accept the request now; others wait before it'};
/** `Retry-After` of such a request while the wait is unknown, and of one that a stopping process refuses. */
const unknownRetryMilliseconds = 600;
const stoppedRetryMilliseconds = 50;

export class RoomSearch {
	readonly #context: GatewayContext;
	readonly #inputs: RoomSearchInputs;
	readonly #waiting: WaitingRequests;
	readonly #request: WaitingRequest;
	/** Absent for prompts, which have no shares. */
	readonly #share: ShareAdmission | undefined;
	#wasRejected = false;

	constructor(context: GatewayContext, waiting: WaitingRequests, inputs: RoomSearchInputs) {
		this.#context = context;
		this.#waiting = waiting;
		this.#inputs = inputs;
		this.#request = waitingRequestOf(waiting.nextId(), inputs);
		this.#share = context.shares === undefined || inputs.work.permitted.route.carriesPrompt ? undefined : new ShareAdmission(context, context.shares, inputs);
	}

	/** Returns the endpoint, or why there is none; `cancelled` if the request needs none any more. */
	async find(): Promise<SearchResult | {kind: 'cancelled'}> {
		const {search} = this.#inputs;
		const refusal = this.#share?.refusal();
		if (refusal !== undefined) {
			return {kind: 'refused', refusal};
		}

		if (this.#waiting.mustYield(this.#request) && search.knowsLoads()) {
			return this.#resultOf(await this.#wait(), yieldedRefusal);
		}

		const result = await search.find();
		if (result.kind === 'found') {
			return this.#wasRejected && isFull(result) ? this.#waitForSlot() : this.#placed(result);
		}

		if (result.isFull === true && search.knowsLoads()) {
			return this.#resultOf(await this.#wait(), result.refusal);
		}

		return this.#wasRejected && result.refusal.reason === 'no-endpoint' ? {...result, refusal: this.refuseRejected(result.refusal)} : result;
	}

	/** Records how an attempt has ended, and when it was sent and answered. One that was not accepted has freed no room. */
	noteEnded(endpoint: string, outcome: AttemptResult['outcome'], {sentAt, firstByteAt}: Pick<RequestAttempts, 'sentAt' | 'firstByteAt'>): void {
		this.#wasRejected = outcome === 'rejected' && !this.#inputs.work.permitted.route.carriesPrompt;
		if (outcome !== 'rejected' && outcome !== 'not-sent') {
			if (sentAt !== undefined) {
				this.#share?.noteEnded(sentAt);
			}

			const isAnswered = outcome === 'whole' && sentAt !== undefined && firstByteAt !== undefined && firstByteAt >= sentAt;
			this.#waiting.noteEnded(this.#request, endpoint, isAnswered ? firstByteAt - sentAt : undefined);
		}
	}

	/**
	 * Returns the refusal of a request that all tried endpoints rejected, with the estimated time until there is room. The rest
	 * that all of them have asked for stays.
	 */
	refuseRejected(refusal: Refusal): Refusal {
		if (this.#inputs.search.restMilliseconds() !== undefined) {
			return refusal;
		}

		const outlook = this.#waiting.outlook(this.#request);
		const retryAfterMilliseconds = this.#retryDelay(outlook, refusal.retryAfterMilliseconds ?? unknownRetryMilliseconds);
		this.#log('rejected', {outlook, waitedMilliseconds: 0}, retryAfterMilliseconds);
		return {...refusal, retryAfterMilliseconds};
	}

	#placed(result: FoundEndpoint): FoundEndpoint {
		this.#waiting.notePlaced(this.#request);
		return result;
	}

	/** Waits until a slot is known to be free; sends the call nevertheless if that does not happen and none goes before it. */
	async #waitForSlot(): Promise<SearchResult | {kind: 'cancelled'}> {
		const end = await this.#wait('no-slot-known');
		if (end.kind !== 'unadmitted' || end.reason === 'stopped' || this.#waiting.mustYield(this.#request)) {
			return this.#resultOf(end, yieldedRefusal);
		}

		const result = await this.#inputs.search.find();
		return result.kind === 'found' ? this.#placed(result) : this.#resultOf(end, result.refusal);
	}

	async #wait(refusedOutcome?: WaitOutcome): Promise<WaitEnd<FoundEndpoint>> {
		this.#request.isAssured = this.#share?.isAssured ?? false;
		return this.#waiting.wait(this.#request, async mayQuery => this.#place(mayQuery), this.#inputs.signal, refusedOutcome);
	}

	#resultOf(end: WaitEnd<FoundEndpoint>, refusal: Refusal): SearchResult | {kind: 'cancelled'} {
		if (end.kind === 'cancelled') {
			return end;
		}

		return end.kind === 'admitted' ? end.found : this.#refuse(end, refusal);
	}

	async #place(mayQuery: boolean): Promise<FoundEndpoint | 'endpoints-gone' | undefined> {
		const {views} = this.#waiting;
		const found = await this.#inputs.search.findAgain(mayQuery, ({prompt}, {endpoint: {name, slots}, basis}) => {
			const hasRoom = hasRoomForQueued({prompt, isLeastUrgent: this.#waiting.isLeastUrgent(this.#request), wasRejected: this.#wasRejected}, basis, slots);
			return hasRoom && views.mayPlace(name, this.#loadQueriedAt(name), this.#now());
		});
		if (typeof found === 'object') {
			views.notePlaced(found.placement.endpoint.name, this.#now());
		}

		return found;
	}

	#refuse({reason, ...wait}: WaitEnd<unknown> & {kind: 'unadmitted'}, refusal: Refusal): SearchResult {
		const retryAfterMilliseconds = reason === 'stopped' ? stoppedRetryMilliseconds : this.#retryDelay(wait.outlook, refusal.retryAfterMilliseconds ?? unknownRetryMilliseconds);
		this.#log(reason, wait, retryAfterMilliseconds);
		return {kind: 'refused', refusal: {...refusal, ...refusalOf[reason], retryAfterMilliseconds}};
	}

	/** Writes one line for each refusal, which names what it rests on and whom the request was refused for. */
	#log(reason: UnadmittedReason | 'rejected', {outlook, waitedMilliseconds}: {outlook: WaitOutlook; waitedMilliseconds: number}, retryAfterMilliseconds: number): void {
		const {work: {head, permitted, arrivedAt}, deadline} = this.#inputs;
		this.#context.log.record('request-not-admitted', {
			id: head.attemptId,
			service: permitted.service,
			rank: permitted.rank,
			workspace: permitted.grant?.name,
			reason,
			waitedMilliseconds: Math.round(waitedMilliseconds),
			estimateMilliseconds: rounded(outlook.estimateMilliseconds),
			estimateAgeMilliseconds: rounded(outlook.ageMilliseconds),
			aheadByRank: {...outlook.aheadByRank},
			mostAhead: outlook.mostAhead,
			leftMilliseconds: Math.round(deadline - this.#now()),
			retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
			milliseconds: Math.round(this.#now() - arrivedAt.steady),
		});
	}

	#retryDelay({estimateMilliseconds}: WaitOutlook, defaultMilliseconds: number): number {
		const {head, arrivedAt} = this.#inputs.work;
		const callerDeadline = head.deadlineMilliseconds === undefined ? this.#inputs.deadline : arrivedAt.steady + head.deadlineMilliseconds;
		return retryDelay({estimateMilliseconds, defaultMilliseconds, remainingMilliseconds: callerDeadline - this.#now()}, head.attemptId);
	}

	/** When the known load of an endpoint was queried; `undefined` while it is too old to count. */
	#loadQueriedAt(endpoint: string): number | undefined {
		const {coordinatorView, clock} = this.#context;
		return coordinatorView.peerLoadAt(endpoint, clock.moment()) === undefined ? undefined : coordinatorView.loadQueriedAt(endpoint);
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}

/** How the refusal differs by the reason. */
const refusalOf: Record<UnadmittedReason, Partial<Refusal>> = {
	'refused-at-once': {},
	expired: {message: 'no endpoint of the service had room while the request waited'},
	displaced: {message: 'the request lost its place in the queue to others'},
	'endpoints-gone': {reason: 'no-endpoint', message: 'the endpoints of the service have gone while the request waited'},
	stopped: {reason: 'draining', message: 'the instance stops'},
};

/** Whether all slots of the endpoint were taken as far as is known. */
function isFull({placement: {endpoint, basis}}: FoundEndpoint): boolean {
	return basis.occupancy >= endpoint.slots;
}

function rounded(value: number | undefined): number | undefined {
	return value === undefined ? undefined : Math.round(value);
}
