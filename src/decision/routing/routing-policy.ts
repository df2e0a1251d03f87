/**
 * Routing policies choose the endpoint of a prompt. A policy gets what is known of the endpoints and observes every
 * attempt, so that it can correct a lagging load report by what was sent since.
 */
import {type LoadReport} from '../../ports/model-engine.js';
import {type PriorityClass} from '../../shared/types.js';

/** What is known of one model endpoint. */
export type EndpointView = {
	name: string;
	address: string;
	dataCentre: string;
	service: string;
	model: string;
	weightVersion: string;
	state: 'live' | 'loading' | 'leaving';
	/** The newest load report; absent until the first one arrives. */
	load?: LoadReport;
	/** When anything was last received from the endpoint itself, in milliseconds since the epoch. */
	heardAt: number;
};

/** What a policy needs to know of a request. */
export type RouteRequest = {
	requestId: string;
	workspace: string;
	service: string;
	/** The declared weight version; endpoints that still run another one are second choice. */
	weightVersion: string;
	priority: PriorityClass;
	promptTokens: number;
	/** Keys of the prompt's blocks; the caller derives them for `weightVersion`. */
	pieceKeys: readonly string[];
	/** Endpoints that already failed this request. */
	avoid: readonly string[];
	deadline: number;
};

/** Blocks to fetch from a store to the endpoint before the prompt is sent; a block that was evicted is recomputed. */
export type FetchPlan = {
	store: string;
	pieceKeys: readonly string[];
};

/** The choice; `none` comes with a retry delay. */
export type RouteChoice
	= | {kind: 'send'; endpoint: EndpointView; fetch?: FetchPlan}
		| {kind: 'none'; retryAfterMilliseconds: number};

/** What happened to an attempt. */
export type AttemptEvent
	= | {kind: 'sent'; endpoint: string; request: RouteRequest}
		| {kind: 'first-token'; endpoint: string; request: RouteRequest; afterMilliseconds: number}
		| {kind: 'ended'; endpoint: string; request: RouteRequest; outcome: 'whole' | 'failed' | 'cancelled'; cachedTokens: number}
		| {kind: 'fetched'; endpoint: string; requestId: string; store: string; pieceKeys: readonly string[]; pieces: number; afterMilliseconds: number; linkMilliseconds: number};

/** Chooses endpoints. */
export interface RoutingPolicy {
	choose(request: RouteRequest, endpoints: readonly EndpointView[], now: number): RouteChoice;
	observe(event: AttemptEvent, now: number): void;
}
