/**
 * Where a prompt goes. A policy is told what is known of the endpoints, and hears of every attempt, so that it can
 * correct a load report that lags by what was sent since.
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
	/** When anything was last heard from the endpoint itself, in milliseconds since the epoch. */
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
	/** Keys of the prompt's pieces by weight version are derived by the caller; these are for `weightVersion`. */
	pieceKeys: readonly string[];
	/** Endpoints that already failed this request. */
	avoid: readonly string[];
	deadline: number;
};

/** Pieces to bring from a store to the endpoint before the prompt is sent; a piece that is gone is recomputed. */
export type FetchPlan = {
	store: string;
	pieceKeys: readonly string[];
};

/** The choice. `none` says when to come back. */
export type RouteChoice
	= | {kind: 'send'; endpoint: EndpointView; fetch?: FetchPlan}
		| {kind: 'none'; retryAfterMilliseconds: number};

/** What becomes of an attempt. */
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
