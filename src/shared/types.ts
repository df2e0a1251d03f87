/**
 * Types that several folders use: priority classes, refusals, findings, and the items of a declaration. Types that a single
 * folder uses are declared there.
 */

/** Any value that JSON can carry. */
export type JsonValue = string | number | boolean | null | JsonValue[] | {[name: string]: JsonValue};

/** How soon the caller needs the answer. `urgent` has precedence; `overnight` may wait for hours. */
export type PriorityClass = 'urgent' | 'normal' | 'overnight';

/** Whether a refused request has run. `not-run` is guaranteed; `unknown`: it may or may not have run. */
export type RunState = 'not-run' | 'unknown';

/** Why a request was refused or cancelled. */
export type RefusalReason
	= | 'bad-request'
		| 'unauthorized'
		| 'not-found'
		| 'too-large'
		| 'headers-too-large'
		| 'memory-limit'
		| 'connection-limit'
		| 'too-slow'
		| 'too-many-open'
		| 'no-endpoint'
		| 'region-not-allowed'
		| 'overloaded'
		| 'deadline'
		| 'draining'
		| 'paused'
		| 'platform-unavailable'
		| 'claim-rate'
		| 'stale-configuration'
		| 'key-reused'
		| 'in-progress'
		| 'outcome-unknown'
		| 'endpoint-failed'
		| 'crashes-endpoints'
		| 'stream-cut'
		| 'stream-unknown'
		| 'stream-version-gone'
		| 'timeout'
		| 'cancelled'
		| 'internal';

/** The final answer to a request that is not served. */
export type Refusal = {
	reason: RefusalReason;
	ran: RunState;
	message: string;
	/** When the caller may retry, in milliseconds from now. Absent where a retry cannot succeed. */
	retryAfterMilliseconds?: number;
	/** The path where the outcome of a call that may have run can be queried later. */
	askAt?: string;
};

/** The place of a finding: a flag or an environment variable, or a position in a file. Lines and columns count from 1. */
export type Place
	= | {source: 'flag' | 'environment'; name: string}
		| {source: 'file'; file: string; line: number; column: number};

/** An error in a user's input, and its place. */
export type Finding = {
	place: Place;
	message: string;
};

/** A declaration of calls that run at most once. `path` is a prefix of the path after `/services/{service}`. */
export type AtMostOnceRule = {
	method: string;
	path: string;
};

/** Whether the endpoints of a service check the fencing number of an order. */
export type FencingCheck = 'checked' | 'ignored';

/** A declared workspace: its keys, priority, share, and the services that it may call. */
export type WorkspaceItem = {
	name: string;
	/** SHA-256 digests, in hexadecimal, of the bearer keys. */
	keyDigests: string[];
	priority: PriorityClass;
	/** The weight in fair sharing; 2 gets twice the share of 1. */
	share: number;
	services: string[];
};

/** A declared service: a model that model engines serve, or a plain service. */
export type ServiceItem
	= | {name: string; kind: 'model'; model: string; weightVersion: string; fencing: FencingCheck; paused: boolean}
		| {name: string; kind: 'plain'; neverTwice: AtMostOnceRule[]; fencing: FencingCheck; paused: boolean};

/** A declared routing rule. The first rule, in order of name, all of whose conditions match applies. */
export type RuleItem = {
	name: string;
	workspace?: string;
	service?: string;
	priority?: PriorityClass;
	deadlineMilliseconds?: number;
	dataCentres?: string[];
};

/** A declared limit; `src/declaration/declaration-schema.ts` lists the known names. */
export type LimitItem = {
	name: string;
	value: number;
};

/** An endpoint that operators have drained: it gets no new requests until it is admitted again. Not declared in files. */
export type DrainItem = {
	/** The endpoint's name in the platform's list. */
	name: string;
	reason: string;
};

/** A declared item with its kind. */
export type ConfigurationItem
	= | {kind: 'workspace'; item: WorkspaceItem}
		| {kind: 'service'; item: ServiceItem}
		| {kind: 'rule'; item: RuleItem}
		| {kind: 'limit'; item: LimitItem}
		| {kind: 'drain'; item: DrainItem};

/** The kinds of declared items. */
export type ConfigurationKind = ConfigurationItem['kind'];

/** One edit of a configuration change. */
export type ConfigurationEdit
	= | ({action: 'set'} & ConfigurationItem)
		| {action: 'remove'; kind: ConfigurationKind; name: string};

/**
 * An accepted change. Changes form a chain: `digest` covers `previousDigest` and the edits, so that two instances with the
 * same version and digest hold the same configuration.
 */
export type ConfigurationChange = {
	version: number;
	previousDigest: string;
	digest: string;
	author: string;
	reason: string;
	/** When it was accepted, in milliseconds since the epoch. */
	acceptedAt: number;
	edits: ConfigurationEdit[];
};

/** The role of a live or leaving process in the platform's list. */
export type InstanceRole = 'entry' | 'model-engine' | 'plain-service' | 'cache-store';

/** One entry of the platform's instance list, which lags. Addresses are `IP:port`. */
export type ListedInstance = {
	name: string;
	role: InstanceRole;
	dataCentre: string;
	/** The declared service to which an endpoint belongs; empty for entries and stores. */
	service: string;
	/** The address for callers' requests, or for requests to the endpoint. */
	address: string;
	/** The address for peers' connections; empty for endpoints. */
	peerAddress: string;
	state: 'live' | 'leaving';
};
