/**
 * The configuration of the routed data path: which requests go to which service, who may send them, and what a client
 * may cost. It arrives whole, with a version; a higher version replaces a lower one.
 */

/**
 * What may be repeated.
 *
 * - `idempotent`: may run more than once.
 * - `non-idempotent`: runs at most once for each attempt of a client.
 * - `stream`: an event stream; at most once as well.
 * - `resumable-stream`: an event stream that another endpoint may continue behind a given event.
 */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream' | 'resumable-stream';

/** One target of a route; of several, each gets its share by weight. */
export type RouteTarget = {
	service: string;
	weight: number;
};

/** A routing rule: the longest path prefix of the host that begins the path decides. */
export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: RouteKind;
	targets: readonly RouteTarget[];
	/** The longest time until the final answer. */
	timeoutMilliseconds: number;
	/** Time to the answer, or to the first event of a stream, that still counts as prompt. */
	objectiveMilliseconds: number;
	/** Longest pause between events of a stream that still counts as prompt; 0 where the route is no stream. */
	longestPauseMilliseconds: number;
	/** How many endpoints one client attempt may be sent to. */
	mostAttempts: number;
	/** 0 is the most urgent. */
	rank: number;
	needsKey: boolean;
	/** Requests carry a prompt in parts that model engines cache. */
	carriesPrompt: boolean;
};

/** What a model engine of a service offers; all engines of a service are alike. */
export type EngineTraits = {
	/** Requests that run at once. */
	slots: number;
	capacityTokens: number;
	bytesPerToken: number;
	linkMegabitsPerSecond: number;
	models: readonly string[];
};

/** What a cache store offers. */
export type StoreTraits = {
	address: string;
	dataCentre: string;
	capacityTokens: number;
	linkMegabitsPerSecond: number;
	/** Added to each transfer. */
	firstMilliseconds: number;
	/** The store never drops a part by itself. */
	isManaged: boolean;
};

/** A declared service: a plain one, one of model engines, or a cache store. */
export type RoutedService = {
	name: string;
	/** Connections that one endpoint takes from all instances together; 0 where it is not declared. */
	connectionLimit: number;
	engine?: EngineTraits;
	store?: StoreTraits;
};

/** What a client may send, and how long it may take or stay idle. */
export type ClientLimits = {
	headerBytes: number;
	bodyBytes: number;
	headerMilliseconds: number;
	idleMilliseconds: number;
};

/** Whom a key belongs to. */
export type WorkspaceGrant = {
	name: string;
	/** Goes before the route's rank where it is declared. */
	rank?: number;
	/** Shares no cached part with any other workspace. */
	isIsolated: boolean;
};

/** A whole configuration. */
export type RoutedConfiguration = {
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, RoutedService>;
	limits: ClientLimits;
	/** Grants by key; absent where no workspaces are declared, and then no route needs a key. */
	grants?: ReadonlyMap<string, WorkspaceGrant>;
};
