/**
 * The endpoints that one request is placed among: looked at, asked about, and weighed. What is known changes with each
 * answer of the hub, so a request that is placed again looks anew.
 */
import {type Placement, type PlacementRequest} from '../../decision/placement/placement.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type GatewayContext} from '../gateway-context.js';
import {type PermittedRequest} from './judge-request.js';
import {placementRequestOf} from './placement-request.js';
import {PromptSources} from './prompt-sources.js';
import {type RequestHead} from './request-head.js';

/** A request that finds no room at the endpoints it looked at looks at others, so often in all; then the service is full. */
const mostLooks = 3;

export class EndpointChoice {
	readonly #context: GatewayContext;
	readonly #work: {head: RequestHead; permitted: PermittedRequest};
	readonly #tried: ReadonlySet<string>;
	#choices: readonly EndpointRecord[] = [];
	#looks = 0;

	/** @param tried - The endpoints that had the request already; it may grow. */
	constructor(context: GatewayContext, work: {head: RequestHead; permitted: PermittedRequest}, tried: ReadonlySet<string>) {
		this.#context = context;
		this.#work = work;
		this.#tried = tried;
	}

	/**
	 * Looks at all endpoints of the service, or some of many, and asks what the others do there and where the parts of a prompt
	 * are kept; a plain call is placed by what is known.
	 */
	async look(): Promise<void> {
		const {placement, peerNews} = this.#context;
		const {permitted} = this.#work;
		const now = this.#now();
		this.#choices = placement.choices(this.#request(), this.#usable(now), now, this.#looks);
		if (permitted.route.carriesPrompt) {
			await peerNews.refresh(this.#sources().question(this.#choices));
		}
	}

	/** Places the request on one of the endpoints that were looked at, or on one that is known to keep parts of it. */
	place(): {request: PlacementRequest; placement: Placement} {
		const now = this.#now();
		const request = this.#request();
		const keepers = request.prompt === undefined ? [] : this.#sources().keepers();
		const names = new Set([...this.#choices, ...keepers].map(({name}) => name));
		const known = this.#usable(now).filter(({name}) => names.has(name));
		return {request, placement: this.#context.placement.place(request, known, now)};
	}

	/** Whether the next look is at others, for a request that found no room. */
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
