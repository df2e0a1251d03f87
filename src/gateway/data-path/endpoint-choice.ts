/**
 * Chooses the endpoint of one request: selects candidates, queries the coordinator about them, and places the request on one
 * of them. Each answer of the coordinator changes what this instance knows, so every placement starts with a new selection.
 */
import {isDataCentreAllowed} from '../../decision/routing/allowed-regions.js';
import {type Placement, type PlacementRequest} from '../../decision/placement/placement.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type GatewayContext} from '../gateway-context.js';
import {placementRequestOf} from './placement-request.js';
import {PromptBlockSources} from './prompt-block-sources.js';
import {type RoutedWork} from './routed-work.js';

/** Samples of candidates that are checked for capacity before the service counts as overloaded. */
const maxRounds = 3;
/** The share of the route's objective that all queries of a request may take; after that it is placed by what is known. */
const maxQueryShare = 0.5;

/** What a placement depends on. */
export type PlacedWork = Pick<RoutedWork, 'head' | 'permitted' | 'continuation'>;

export class EndpointChoice {
	readonly #context: GatewayContext;
	readonly #work: PlacedWork;
	readonly #attempted: ReadonlySet<string>;
	#candidates: readonly EndpointRecord[] = [];
	/** Endpoints whose limit has no room for this request. */
	readonly #excluded = new Set<string>();
	#rounds = 0;
	#queries = 0;
	#queryMilliseconds = 0;

	/** @param attempted - The endpoints that the request was already sent to; the caller may add to it. */
	constructor(context: GatewayContext, work: PlacedWork, attempted: ReadonlySet<string>) {
		this.#context = context;
		this.#work = work;
		this.#attempted = attempted;
	}

	/**
	 * Selects the candidates: all endpoints of the service, or a sample where there are many. For a prompt, queries the
	 * coordinator for the load from other instances there and for the locations of the prompt's cached blocks. A plain call is
	 * placed without a query.
	 */
	async selectCandidates(): Promise<void> {
		const {placement, peerUpdates} = this.#context;
		const {permitted} = this.#work;
		const now = this.#now();
		const sources = this.#sources();
		this.#candidates = placement.shortlist(this.#request(sources), this.#usable(now), now, this.#rounds);
		if (permitted.route.carriesPrompt) {
			const maxMilliseconds = (maxQueryShare * permitted.route.objectiveMilliseconds) - this.#queryMilliseconds;
			await peerUpdates.refresh(sources.query(this.#candidates), maxMilliseconds);
			this.#queries++;
			this.#queryMilliseconds += this.#now() - now;
		}
	}

	/** How often the coordinator was queried, and how long the request has waited for the answers, in milliseconds. */
	get queried(): {queries: number; milliseconds: number} {
		return {queries: this.#queries, milliseconds: this.#queryMilliseconds};
	}

	/** Places the request on one of the candidates, or on an engine that is known to cache blocks of the prompt. */
	place(): {request: PlacementRequest; placement: Placement} {
		const now = this.#now();
		const sources = this.#sources();
		const request = this.#request(sources);
		const cachingEngines = request.prompt === undefined ? [] : sources.cachingEngines();
		const names = new Set([...this.#candidates, ...cachingEngines].map(({name}) => name));
		const known = this.#usable(now).filter(({name}) => names.has(name));
		return {request, placement: this.#context.placement.place(request, known, now)};
	}

	/** Moves to the next sample of candidates. Returns false after the last round, or if all usable endpoints were candidates. */
	nextRound(): boolean {
		this.#rounds++;
		return this.#rounds < maxRounds && this.#candidates.length < this.#usable(this.#now()).length;
	}

	/** Excludes an endpoint whose limit has no room for the request; returns whether another one is usable. */
	exclude(endpoint: EndpointRecord): boolean {
		this.#excluded.add(endpoint.name);
		return this.#usable(this.#now()).some(({name}) => !this.#attempted.has(name));
	}

	/** Excludes the endpoints that are warming up if others are usable: a permit of another one would be waited for as well. */
	excludeWarming(): void {
		const usable = this.#usable(this.#now()).filter(({name}) => !this.#attempted.has(name));
		const warming = usable.filter(endpoint => this.#context.warmUps.isWarmingUp(endpoint));
		if (warming.length < usable.length) {
			for (const {name} of warming) {
				this.#excluded.add(name);
			}
		}
	}

	/** Time until the first endpoint has rested, if all of them rest. */
	restMilliseconds(): number | undefined {
		const now = this.#now();
		const shortest = Math.min(...this.#listed(now).map(endpoint => this.#restOf(endpoint, now)));
		return Number.isFinite(shortest) && shortest > 0 ? shortest : undefined;
	}

	/** Whether the service has endpoints, and all of them are in regions that must not process the request. */
	isOutsideAllowedRegions(): boolean {
		const {permitted} = this.#work;
		const {endpoints, regions} = this.#context;
		const usable = endpoints.usable(permitted.service, this.#now());
		return usable.length > 0 && usable.every(({dataCentre}) => !isDataCentreAllowed(permitted, regions, dataCentre));
	}

	#request(sources: PromptBlockSources): PlacementRequest {
		return placementRequestOf(this.#context, this.#work, this.#attempted, sources);
	}

	#sources(): PromptBlockSources {
		return new PromptBlockSources(this.#context, this.#work.head, this.#work.permitted);
	}

	/** The endpoints that may get this request now. */
	#usable(now: number): readonly EndpointRecord[] {
		const {rests, warmUps} = this.#context;
		const hasRests = !rests.isEmpty;
		return this.#listed(now).filter(endpoint => (!hasRests || this.#restOf(endpoint, now) === 0) && !warmUps.isFull(endpoint));
	}

	/** The same, with those that rest. Every way to an endpoint goes through this list, so a stream goes on only where it may. */
	#listed(now: number): readonly EndpointRecord[] {
		const {permitted, continuation} = this.#work;
		const {route, service} = permitted;
		const isOpen = this.#dataCentreFilter();
		const usable = this.#context.endpoints.usable(service, now, endpoint => continuation.allows(endpoint) && isOpen(endpoint.dataCentre));
		const listed = this.#excluded.size === 0 ? usable : usable.filter(({name}) => !this.#excluded.has(name));
		return route.kind === 'resumable-stream' ? this.#withCertainVersion(listed, now) : listed;
	}

	/** Returns a check of whether the request may be sent to a data centre now, which asks once for each of the few data centres. */
	#dataCentreFilter(): (dataCentre: string) => boolean {
		const {evacuations, regions} = this.#context;
		const known = new Map<string, boolean>();
		return dataCentre => {
			let isOpen = known.get(dataCentre);
			if (isOpen === undefined) {
				isOpen = !evacuations.isEvacuated(dataCentre) && isDataCentreAllowed(this.#work.permitted, regions, dataCentre);
				known.set(dataCentre, isOpen);
			}

			return isOpen;
		};
	}

	/**
	 * Leaves out endpoints whose version is not certain. A process that has ended may be back at another version under its name
	 * before its row says so; and a version that is new here may not be known to other instances, to which the caller may come
	 * back. A stream begins at those only where no other endpoint is left.
	 */
	#withCertainVersion(listed: readonly EndpointRecord[], now: number): readonly EndpointRecord[] {
		const {endpoints, endpointVersions} = this.#context;
		if (this.#work.continuation.isBound) {
			return listed.filter(endpoint => !endpoints.hasEnded(endpoint) && endpointVersions.isCertain(endpoint));
		}

		const certain = listed.filter(endpoint => !endpoints.hasEnded(endpoint) && !endpoints.hasRecentVersion(endpoint, now));
		return certain.length > 0 ? certain : listed;
	}

	#restOf(endpoint: EndpointRecord, now: number): number {
		return this.#context.rests.remainingMilliseconds(incarnationOf(endpoint), now);
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
