/**
 * The configuration of the routed data path: which requests go to which service, which workspaces may send them, and the limits
 * for callers. It arrives as a whole with a version; a higher version replaces a lower one.
 */

/**
 * Whether requests of a route may be retried.
 *
 * - `idempotent`: may run more than once.
 * - `non-idempotent`: runs at most once per request of a caller.
 * - `stream`: an event stream; runs at most once as well.
 * - `resumable-stream`: an event stream that another endpoint may continue after a given event.
 */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream' | 'resumable-stream';

/** A target of a route; requests are divided among the targets by weight. */
export type RouteTarget = {
	service: string;
	weight: number;
};

/** A routing rule. Among the routes of a host, the one with the longest matching path prefix applies. */
export type Route = {
	name: string;
	host: string;
	/** Starts and ends with a slash. */
	pathPrefix: string;
	kind: RouteKind;
	targets: readonly RouteTarget[];
	/** The longest time until the final answer. */
	timeoutMilliseconds: number;
	/** The latency objective: the time to the answer, or to the first event of a stream. */
	objectiveMilliseconds: number;
	/** The objective for the longest gap between events of a stream; 0 where the route is no stream. */
	maxEventGapMilliseconds: number;
	/** The maximum number of endpoints to which one request is sent. */
	maxAttempts: number;
	/** 0 is the most urgent. */
	rank: number;
	requiresKey: boolean;
	/** Whether requests carry a prompt in blocks that model engines cache. */
	carriesPrompt: boolean;
	/** The regions that may process its requests; absent or empty where any may. */
	allowedRegions?: readonly string[];
};

/** The properties of a service's model engines, which are all alike. */
export type EngineTraits = {
	/** The number of requests that run concurrently. */
	slots: number;
	capacityTokens: number;
	bytesPerToken: number;
	linkMegabitsPerSecond: number;
	models: readonly string[];
};

/** The properties of a cache store. */
export type StoreTraits = {
	address: string;
	dataCentre: string;
	capacityTokens: number;
	linkMegabitsPerSecond: number;
	/** The fixed time added to each transfer. */
	transferLatencyMilliseconds: number;
	/** Whether the store evicts nothing by itself, so that the cache store manager frees its blocks. */
	isManaged: boolean;
};

/** What the endpoints of a service take while they warm up. */
export type WarmUp = {
	/** How long an endpoint takes to warm up after its start. */
	milliseconds: number;
	/** Requests a second from all instances together. */
	requestsPerSecond: number;
};

/** A declared service: a plain service, model engines or a cache store. */
export type RoutedService = {
	name: string;
	/** The maximum number of connections to one endpoint from all instances together; 0 where it is not declared. */
	connectionLimit: number;
	/** Absent where endpoints take all requests from their start. */
	warmUp?: WarmUp;
	engine?: EngineTraits;
	store?: StoreTraits;
};

/** Limits for callers: sizes of what they send, the time to send the headers, and the idle time of a connection. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	headerTimeoutMilliseconds: number;
	idleTimeoutMilliseconds: number;
};

/** How a workspace shares the capacity of a service with others; rates are calls a second of one service. */
export type GrantedShare = {
	/** Its part of a congested service against those of others, each 1 by default. */
	weight?: number;
	/** What it gets of a congested service before others get more. */
	floorPerSecond?: number;
	/** What it gets at most. */
	ceilingPerSecond?: number;
};

/** The workspace to which a key belongs. */
export type WorkspaceGrant = {
	name: string;
	/** Overrides the route's rank where it is declared. */
	rank?: number;
	/** Absent where nothing is configured. */
	share?: GrantedShare;
	/** Whether the workspace shares no cached blocks with other workspaces. */
	isIsolated: boolean;
	/** The regions that may process its requests; absent or empty where any may. */
	allowedRegions?: readonly string[];
};

/** A complete configuration. */
export type RoutedConfiguration = {
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, RoutedService>;
	limits: CallerLimits;
	/** Grants by key; absent where no workspaces are declared, in which case no route requires a key. */
	grants?: ReadonlyMap<string, WorkspaceGrant>;
};
