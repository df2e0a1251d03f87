/** One instance in virtual time that shares endpoints with others, and lets requests wait for room or refuses them at once. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {CostPlacement} from '../placement/cost-placement.js';
import {type EndpointLoad} from '../placement/endpoint-load.js';
import {type Placement, type PlacementRequest} from '../placement/placement.js';
import {hasRoomForQueued} from '../waiting/has-room-for-queued.js';
import {PlacedViews} from '../waiting/placed-views.js';
import {retryDelay} from '../waiting/retry-delay.js';
import {type WaitingOrder} from '../waiting/waiting-order.js';
import {type WaitingRequest, type WaitOutlook} from '../waiting/waiting-request.js';
import {defaultQueueBounds, WaitingQueue} from '../waiting/waiting-queue.js';
import {type ContendedEndpoint} from './contended-endpoint.js';
import {type ContendedShares} from './contended-shares.js';
import {type EventQueue} from './event-queue.js';

/** A request with the refusal that its caller receives. */
export type ContendedRequest = {
	placement: PlacementRequest & {attempted: Set<string>};
	waiting: WaitingRequest;
	workMilliseconds: number;
	maxAttempts: number;
	callerDeadlineAt: number;
	waitedMilliseconds: number;
	answered: () => void;
	refused: (retryAfterMilliseconds: number, isByShare: boolean) => void;
};

/** The same times as in the shell. */
const viewValidityMilliseconds = 800;
const checkIntervalMilliseconds = 25;
const tryIntervalMilliseconds = 100;
const minQueryGapMilliseconds = 150;

export class ContendedInstance {
	/** Absent where workspaces have no shares. */
	readonly shares: ContendedShares | undefined;
	readonly #events: EventQueue;
	readonly #endpoints: readonly ContendedEndpoint[];
	readonly #policy: CostPlacement;
	readonly #queue: WaitingQueue | undefined;
	readonly #views = new PlacedViews();
	readonly #jobs = new Map<string, ContendedRequest>();
	readonly #rejected = new Set<string>();
	#snapshot: {at: number; loads: Map<string, EndpointLoad>} = {at: Number.NEGATIVE_INFINITY, loads: new Map()};
	#view = this.#snapshot;
	#triedAt = 0;
	#queriedAt = 0;

	/** @param order - The order of the queue; absent where requests without room are refused at once. */
	constructor(events: EventQueue, endpoints: readonly ContendedEndpoint[], order: WaitingOrder | undefined, shares?: ContendedShares) {
		this.shares = shares;
		this.#events = events;
		this.#endpoints = endpoints;
		this.#queue = order && new WaitingQueue(order, defaultQueueBounds);
		this.#policy = new CostPlacement('split', name => this.#isViewFresh ? this.#view.loads.get(name) : undefined);
	}

	/** Takes what the coordinator knows now: the load of the other instances. */
	takeSnapshot(): void {
		const own = this.#policy.ownLoads(this.#events.now);
		this.#snapshot = {at: this.#events.now, loads: new Map(this.#endpoints.map(({record, load}) => [record.name, subtract(load, own.get(record.name))]))};
	}

	/** Uses the last snapshot as its view, as after a regular query. */
	query(): void {
		this.#view = this.#snapshot;
		this.#tryQueued();
	}

	receive(request: ContendedRequest): void {
		const {placement: {prompt, id, rank}, waiting: {service, workspace}} = request;
		const remainingMilliseconds = request.callerDeadlineAt - this.#events.now;
		const retryAfter = this.#rejected.has(request.waiting.id) || prompt !== undefined
			? undefined
			: this.shares?.arrive({
				attemptId: id, service, rank, workspace, remainingMilliseconds,
			}, this.#events.now);
		if (retryAfter !== undefined) {
			request.refused(retryAfter, true);
			return;
		}

		request.waiting.isAssured = this.shares?.isCongested(service, this.#events.now) ?? false;
		this.#view = prompt === undefined ? this.#view : this.#snapshot;
		const queue = prompt === undefined || this.#isViewFresh ? this.#queue : undefined;
		if (queue?.mustYield(request.waiting, this.#events.now)) {
			this.#wait(queue, request, undefined);
			return;
		}

		const placement = this.#place(request);
		if (placement.kind === 'send' && queue !== undefined && this.#rejected.has(request.waiting.id) && isFull(placement)) {
			this.#wait(queue, request, undefined);
		} else if (placement.kind === 'send') {
			this.#send(request, placement);
		} else if (queue === undefined || placement.reason !== 'overloaded') {
			this.#refuse(request, undefined, placement.retryAfterMilliseconds);
		} else {
			this.#wait(queue, request, placement.retryAfterMilliseconds);
		}
	}

	get #isViewFresh(): boolean {
		return this.#events.now - this.#view.at < viewValidityMilliseconds;
	}

	#place({placement}: ContendedRequest): Placement {
		const {now} = this.#events;
		const records = this.#endpoints.map(({record}) => record);
		return this.#policy.place(placement, this.#policy.shortlist(placement, records, now, 0), now);
	}

	#send(request: ContendedRequest, {endpoint, basis}: Placement & {kind: 'send'}): void {
		const {placement, waiting, workMilliseconds} = request;
		const {now} = this.#events;
		this.#queue?.noteAdmitted(waiting, now);
		this.#policy.observe({
			kind: 'sent', request: placement, endpoint, basis,
		}, now);
		placement.attempted.add(endpoint.name);
		const isAccepted = this.#endpoints.find(({record}) => record === endpoint)!.accept({
			rank: placement.rank,
			tokens: placement.prompt === undefined ? 0 : basis.readTokens,
			milliseconds: placement.prompt === undefined ? workMilliseconds : workMilliseconds * basis.readTokens / placement.prompt.promptTokens,
			answered: () => {
				this.#policy.observe({
					kind: 'answered', request: placement, endpoint, load: undefined,
				}, this.#events.now);
				this.#queue?.noteServed(waiting, this.#events.now - now);
				request.answered();
			},
			ended: () => {
				this.shares?.counter.noteEnded(waiting, this.#events.now - now, this.#events.now);
				this.#end(placement, endpoint, 'whole');
			},
		});
		if (!isAccepted) {
			this.#handleRejection(request, endpoint);
		}
	}

	#handleRejection(request: ContendedRequest, endpoint: EndpointRecord): void {
		this.#end(request.placement, endpoint, 'rejected');
		if (request.placement.attempted.size < request.maxAttempts) {
			this.#rejected.add(request.waiting.id);
			this.receive(request);
		} else {
			this.#refuse(request, this.#queue?.outlook(request.waiting, this.#events.now), 500);
		}
	}

	#end(request: PlacementRequest, endpoint: EndpointRecord, outcome: 'whole' | 'rejected'): void {
		this.#policy.observe({
			kind: 'ended', request, endpoint, outcome,
		}, this.#events.now);
		if (outcome === 'whole') {
			this.#views.noteEnded(endpoint.name);
			this.#tryQueued();
		}
	}

	#wait(queue: WaitingQueue, request: ContendedRequest, defaultMilliseconds = 600): void {
		const {now} = this.#events;
		const decision = queue.arrive(request.waiting, now);
		if (decision.kind === 'refuse') {
			this.#endWait(request, decision.outlook, defaultMilliseconds);
			return;
		}

		for (const {id} of decision.displaced) {
			const displaced = this.#jobs.get(id)!;
			this.#jobs.delete(id);
			this.#refuse(displaced, decision.outlook, 600);
		}

		this.#jobs.set(request.waiting.id, request);
		request.waitedMilliseconds -= now;
		if (this.#jobs.size === 1) {
			this.#triedAt = now;
			this.#queriedAt = now;
			this.#scheduleCheck(queue);
		}
	}

	#scheduleCheck(queue: WaitingQueue): void {
		this.#events.at(this.#events.now + checkIntervalMilliseconds, () => {
			const {now} = this.#events;
			for (const expired of queue.expire(now)) {
				const request = this.#jobs.get(expired.id)!;
				this.#jobs.delete(expired.id);
				request.waitedMilliseconds += now;
				this.#endWait(request, queue.outlook(expired, now), 600);
			}

			if (now - this.#triedAt >= tryIntervalMilliseconds) {
				this.#tryQueued();
			}

			if (this.#jobs.size > 0) {
				this.#scheduleCheck(queue);
			}
		});
	}

	/** A call that waited for a slot is sent nevertheless if none goes before it. */
	#endWait(request: ContendedRequest, outlook: WaitOutlook, defaultMilliseconds: number): void {
		const placement = this.#rejected.has(request.waiting.id) && !this.#queue!.mustYield(request.waiting, this.#events.now) ? this.#place(request) : undefined;
		if (placement?.kind === 'send') {
			this.#send(request, placement);
		} else {
			this.#refuse(request, outlook, defaultMilliseconds);
		}
	}

	#tryQueued(): void {
		const {now} = this.#events;
		const queue = this.#queue;
		this.#triedAt = now;
		for (const lane of queue?.lanes() ?? []) {
			while (queue!.next(lane, now).some(({id}) => this.#tryJob(id))) {
				// The next one is tried.
			}
		}
	}

	#tryJob(id: string): boolean {
		const {now} = this.#events;
		const request = this.#jobs.get(id)!;
		if (request.placement.prompt !== undefined && now - this.#queriedAt >= minQueryGapMilliseconds) {
			this.#queriedAt = now;
			this.#view = this.#snapshot;
		}

		const placement = this.#place(request);
		const fromQueue = {prompt: request.placement.prompt, isLeastUrgent: this.#queue!.isLeastUrgent(request.waiting), wasRejected: this.#rejected.has(id)};
		const isAllowed = placement.kind === 'send'
			&& hasRoomForQueued(fromQueue, placement.basis, placement.endpoint.slots)
			&& this.#views.mayPlace(placement.endpoint.name, this.#isViewFresh ? this.#view.at : undefined, now);
		if (!isAllowed) {
			return false;
		}

		this.#jobs.delete(id);
		request.waitedMilliseconds += now;
		this.#views.notePlaced(placement.endpoint.name, now);
		this.#send(request, placement);
		return true;
	}

	#refuse(request: ContendedRequest, outlook: WaitOutlook | undefined, defaultMilliseconds: number): void {
		const estimateMilliseconds = outlook?.estimateMilliseconds;
		const remainingMilliseconds = request.callerDeadlineAt - this.#events.now;
		request.refused(this.#queue === undefined ? defaultMilliseconds : retryDelay({estimateMilliseconds, defaultMilliseconds, remainingMilliseconds}, request.placement.id), false);
	}
}

function isFull({endpoint, basis}: Placement & {kind: 'send'}): boolean {
	return basis.occupancy >= endpoint.slots;
}

function subtract(total: EndpointLoad, own: EndpointLoad | undefined): EndpointLoad {
	return own === undefined
		? total
		: {
			...total,
			requests: Math.max(0, total.requests - own.requests),
			pendingPrefillTokens: total.pendingPrefillTokens.map((tokens, rank) => Math.max(0, tokens - own.pendingPrefillTokens[rank]!)),
			heldTokens: Math.max(0, total.heldTokens - own.heldTokens),
		};
}
