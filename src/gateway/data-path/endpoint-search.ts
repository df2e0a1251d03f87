/**
 * Finds the endpoint of a request's next attempt: keeps a request that crashes its endpoints from all of them, places any
 * other, and takes a permit where the chosen endpoint has named a limit.
 */
import {spreadRetry} from '../../decision/limits/spread-retry.js';
import {type Placement, type PlacementRequest} from '../../decision/placement/placement.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type Refusal} from '../../shared/types.js';
import {type GatewayContext} from '../gateway-context.js';
import {type CrashScreen} from './crash-screen.js';
import {EndpointChoice, type PlacedWork} from './endpoint-choice.js';

/** The endpoint that a request is to be sent to. */
export type FoundEndpoint = {
	kind: 'found';
	request: PlacementRequest;
	placement: Placement & {kind: 'send'};
};

/** The endpoint, or why there is none. */
export type SearchResult
	= | FoundEndpoint
		/** `isFull`: endpoints exist, and none has room now. */
		| {kind: 'refused'; refusal: Refusal; isFull?: boolean};

/** `Retry-After` of a request that no endpoint's limit leaves room for; endpoints in need take one request in a second or so. */
const limitedRetryMilliseconds = 1000;

/** `Retry-After` of a request without an endpoint in an allowed region: one may start there. */
const regionRetryMilliseconds = 2000;

/** `Retry-After` of a request that every endpoint rejected: a queue of short requests drains in this time. */
const rejectedRetryMilliseconds = 500;

export class EndpointSearch {
	readonly #context: GatewayContext;
	readonly #id: string;
	readonly #permitted: PlacedWork['permitted'];
	readonly #choice: EndpointChoice;
	readonly #crashScreen: CrashScreen;

	/** @param attempted - The endpoints that the request was already sent to; the caller may add to it. */
	constructor(context: GatewayContext, work: PlacedWork, crashScreen: CrashScreen, attempted: ReadonlySet<string>) {
		this.#context = context;
		this.#id = work.head.attemptId;
		this.#permitted = work.permitted;
		this.#choice = new EndpointChoice(context, work, attempted);
		this.#crashScreen = crashScreen;
	}

	/**
	 * Queries what the placement depends on.
	 *
	 * @param signal - Aborts when the request needs no endpoint any more.
	 * @returns The refusal of a request that may not be sent at all.
	 */
	async prepare(signal: AbortSignal): Promise<Refusal | undefined> {
		const refusal = await this.#crashScreen.refusal(signal);
		if (refusal === undefined) {
			await this.#choice.selectCandidates();
		}

		return refusal;
	}

	/** Places the request; where endpoints are full or their limits leave no room, on one of the others. */
	async find(): Promise<SearchResult> {
		for (;;) {
			const {request, placement} = this.#choice.place();
			if (placement.kind === 'none') {
				if (placement.reason === 'overloaded' && this.#choice.nextRound()) {
					await this.#choice.selectCandidates();
					continue;
				}

				if (this.#choice.isOutsideAllowedRegions()) {
					return refused({
						reason: 'region-not-allowed', ran: 'not-run', message: 'no endpoint of the service is in a region that may process the request', retryAfterMilliseconds: spreadRetry(regionRetryMilliseconds, this.#id),
					});
				}

				const restMilliseconds = this.restMilliseconds();
				if (restMilliseconds !== undefined) {
					return refused({
						reason: 'overloaded', ran: 'not-run', message: 'all endpoints of the service have asked for a rest', retryAfterMilliseconds: restMilliseconds,
					});
				}

				return {
					...refused({
						reason: placement.reason, ran: 'not-run', message: 'no endpoint of the service can accept the request now', retryAfterMilliseconds: placement.retryAfterMilliseconds,
					}),
					isFull: placement.reason === 'overloaded',
				};
			}

			if (await this.#maySend(placement.endpoint)) {
				return {kind: 'found', request, placement};
			}

			if (!this.#choice.exclude(placement.endpoint)) {
				return refused({
					reason: 'overloaded',
					ran: 'not-run',
					message: 'the endpoints, or the limits that they have named, leave no room now',
					retryAfterMilliseconds: spreadRetry(limitedRetryMilliseconds, this.#id),
				});
			}

			await this.#choice.selectCandidates();
		}
	}

	/**
	 * Places a request for which no endpoint had room before.
	 *
	 * @param mayQuery - Whether other candidates may be selected, and the coordinator queried about them.
	 * @param isAllowed - Whether the request may be sent to the endpoint that was chosen.
	 * @returns `undefined` if there is no room.
	 */
	async findAgain(mayQuery: boolean, isAllowed: (request: PlacementRequest, placement: Placement & {kind: 'send'}) => boolean): Promise<FoundEndpoint | 'endpoints-gone' | undefined> {
		if (mayQuery) {
			this.#choice.nextRound();
			await this.#choice.selectCandidates();
		}

		let {request, placement} = this.#choice.place();
		if (placement.kind === 'none' && placement.reason === 'no-endpoint') {
			await this.#choice.selectCandidates();
			({request, placement} = this.#choice.place());
		}

		if (placement.kind === 'none') {
			return placement.reason === 'no-endpoint' && this.restMilliseconds() === undefined ? 'endpoints-gone' : undefined;
		}

		return isAllowed(request, placement) && await this.#maySend(placement.endpoint) ? {kind: 'found', request, placement} : undefined;
	}

	/**
	 * Whether the load of the other instances at an endpoint of the service is known, without which nobody can tell whether
	 * engines are full. Plain endpoints reject what they have no room for.
	 */
	knowsLoads(): boolean {
		const {endpoints, coordinatorView, clock} = this.#context;
		const {route, service} = this.#permitted;
		const now = clock.moment();
		return !route.carriesPrompt || endpoints.usable(service, now.steady).some(({name}) => coordinatorView.peerLoadAt(name, now) !== undefined);
	}

	/** The refusal of a request that all endpoints rejected to which it may be sent. */
	rejectedRefusal(): Refusal {
		return {
			reason: 'no-endpoint', ran: 'not-run', message: 'no endpoint accepted the request', retryAfterMilliseconds: this.restMilliseconds() ?? rejectedRetryMilliseconds,
		};
	}

	/** How often the coordinator was queried for the request, and for how long, in milliseconds. */
	get queried(): EndpointChoice['queried'] {
		return this.#choice.queried;
	}

	/** When a refused caller should return if all endpoints rest. */
	restMilliseconds(): number | undefined {
		const milliseconds = this.#choice.restMilliseconds();
		return milliseconds === undefined ? undefined : spreadRetry(milliseconds, this.#id);
	}

	/** Asks for a slot last: a limit leaves room less often, and a slot that is not used is lost for a moment. */
	async #maySend(endpoint: EndpointRecord): Promise<boolean> {
		const {limits, warmUps, brittle} = this.#context;
		if (!await warmUps.maySend(endpoint)) {
			this.#choice.excludeWarming();
			return false;
		}

		return await limits.maySend(endpoint) && brittle.maySend(endpoint);
	}
}

function refused(refusal: Refusal): SearchResult & {kind: 'refused'} {
	return {kind: 'refused', refusal};
}
