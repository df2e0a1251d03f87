/**
 * Chooses the endpoint of one request: selects candidates, queries the coordinator about them, and places the request on one
 * of them. Each answer of the coordinator changes what this instance knows, so every placement starts with a new selection.
 */
import {type Placement, type PlacementRequest} from '../../decision/placement/placement.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type GatewayContext} from '../gateway-context.js';
import {type PermittedRequest} from './judge-request.js';
import {placementRequestOf} from './placement-request.js';
import {PromptSources} from './prompt-sources.js';
import {type RequestHead} from './request-head.js';

/** Samples of candidates that are checked for capacity before the service counts as overloaded. */
const mostLooks = 3;

export class EndpointChoice {
	readonly #context: GatewayContext;
	readonly #work: {head: RequestHead; permitted: PermittedRequest};
	readonly #tried: ReadonlySet<string>;
	#choices: readonly EndpointRecord[] = [];
	#looks = 0;

	/** @param tried - The endpoints that the request was already sent to; the caller may add to it. */
	constructor(context: GatewayContext, work: {head: RequestHead; permitted: PermittedRequest}, tried: ReadonlySet<string>) {
		this.#context = context;
		this.#work = work;
		this.#tried = tried;
	}

	/**
	 * Selects the candidates: all endpoints of the service, or a sample where there are many. For a prompt, queries the
	 * coordinator for the load from other instances there and for the locations of the prompt's cached blocks. A plain call is
	 * placed without a query.
	 */
	async look(): Promise<void> {
		const {placement, peerNews} = this.#context;
		const {permitted} = this.#work;
		const now = this.#now();
		this.#choices = placement.shortlist(this.#request(), this.#usable(now), now, this.#looks);
		if (permitted.route.carriesPrompt) {
			await peerNews.refresh(this.#sources().question(this.#choices));
		}
	}

	/** Places the request on one of the candidates, or on an engine that is known to cache blocks of the prompt. */
	place(): {request: PlacementRequest; placement: Placement} {
		const now = this.#now();
		const request = this.#request();
		const keepers = request.prompt === undefined ? [] : this.#sources().keepers();
		const names = new Set([...this.#choices, ...keepers].map(({name}) => name));
		const known = this.#usable(now).filter(({name}) => names.has(name));
		return {request, placement: this.#context.placement.place(request, known, now)};
	}

	/** Moves to the next sample of candidates. Returns false after the last round, or if all usable endpoints were candidates. */
	mayLookFurther(): boolean {
		this.#looks++;
		return this.#looks < mostLooks && this.#choices.length < this.#usable(this.#now()).length;
	}

	#request(): PlacementRequest {
		return placementRequestOf(this.#context, this.#work, this.#tried);
	}

	#sources(): PromptSources {
		return new PromptSources(this.#context, this.#work.head, this.#work.permitted);
	}

	#usable(now: number): EndpointRecord[] {
		return this.#context.endpoints.usable(this.#work.permitted.service, now);
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
