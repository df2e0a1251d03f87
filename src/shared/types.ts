/**
 * The vocabulary that more than one part of savorygauge uses: priority classes, refusals, findings, and the rows of a
 * declaration. Types that a single part uses stand beside that part.
 */

/** Any value that JSON can carry. */
export type JsonValue = string | number | boolean | null | JsonValue[] | {[name: string]: JsonValue};

/** How soon a caller needs the answer. `urgent` goes first; `overnight` may wait for hours. */
export type PriorityClass = 'urgent' | 'normal' | 'overnight';

/** What a refusal says about the work: `not-run` is a promise, `unknown` means that it may or may not have run. */
export type RunState = 'not-run' | 'unknown';

/** Why a request was refused or given up. */
export type RefusalReason
	= | 'bad-request'
		| 'unauthorized'
		| 'not-found'
		| 'too-large'
		| 'headers-too-large'
		| 'too-slow'
		| 'too-many-open'
		| 'no-endpoint'
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
		| 'stream-cut'
		| 'timeout'
		| 'cancelled'
		| 'internal';

/** The final answer to a request that is not served. */
export type Refusal = {
	reason: RefusalReason;
	ran: RunState;
	message: string;
	/** When the caller may come back, in milliseconds from now. Absent where a repeat cannot help. */
	retryAfterMilliseconds?: number;
	/** Where the outcome of a call that may have run can be asked later. */
	askAt?: string;
};

/** Where a finding stands: a flag or variable by name, or a place in a file. Lines and columns count from 1. */
export type Place
	= | {source: 'flag' | 'environment'; name: string}
		| {source: 'file'; file: string; line: number; column: number};

/** One thing that is wrong with what somebody wrote, and where. */
export type Finding = {
	place: Place;
	message: string;
};

/** A declared call that may run at most once. `path` is a prefix of the path behind `/services/{service}`. */
export type NeverTwiceRule = {
	method: string;
	path: string;
};

/** Whether the endpoints of a service check the fencing number of an order. */
export type FencingCheck = 'checked' | 'ignored';

/** A declared workspace: who may call, with which share and priority. */
export type WorkspaceItem = {
	name: string;
	/** SHA-256 digests, in hexadecimal, of the bearer keys. */
	keyDigests: string[];
	priority: PriorityClass;
	/** Weight in fair sharing; 2 gets twice the share of 1. */
	share: number;
	services: string[];
};

/** A declared service: a model behind model engines, or a plain service. */
export type ServiceItem
	= | {name: string; kind: 'model'; model: string; weightVersion: string; fencing: FencingCheck; paused: boolean}
		| {name: string; kind: 'plain'; neverTwice: NeverTwiceRule[]; fencing: FencingCheck; paused: boolean};

/** A declared routing rule. The first rule, in order of name, whose members all match decides. */
export type RuleItem = {
	name: string;
	workspace?: string;
	service?: string;
	priority?: PriorityClass;
	deadlineMilliseconds?: number;
	dataCentres?: string[];
};

/** A declared limit, by name; the known names stand in `src/declaration/declaration-schema.ts`. */
export type LimitItem = {
	name: string;
	value: number;
};

/** An endpoint that operators drained: it gets no new work until it is admitted again. Files never declare it. */
export type DrainItem = {
	/** Name of the endpoint in the platform's list. */
	name: string;
	reason: string;
};

/** One declared thing with its kind. */
export type ConfigurationItem
	= | {kind: 'workspace'; item: WorkspaceItem}
		| {kind: 'service'; item: ServiceItem}
		| {kind: 'rule'; item: RuleItem}
		| {kind: 'limit'; item: LimitItem}
		| {kind: 'drain'; item: DrainItem};

/** The kinds of declared things. */
export type ConfigurationKind = ConfigurationItem['kind'];

/** One edit of a configuration change. */
export type ConfigurationEdit
	= | ({action: 'set'} & ConfigurationItem)
		| {action: 'remove'; kind: ConfigurationKind; name: string};

/**
 * One accepted change. Changes form a chain: `digest` covers `previousDigest` and the edits, so that two instances with
 * the same version and digest hold the same configuration.
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

/** What a live or leaving process of the platform's list is. */
export type InstanceRole = 'entry' | 'model-engine' | 'plain-service' | 'cache-store';

/** One line of the platform's lagging instance list. Addresses are `IP:port`. */
export type ListedInstance = {
	name: string;
	role: InstanceRole;
	dataCentre: string;
	/** The declared service that an endpoint stands behind; empty for entries and stores. */
	service: string;
	/** Where callers' traffic, or the endpoint's requests, go. */
	address: string;
	/** Where peers connect; empty for endpoints. */
	peerAddress: string;
	state: 'live' | 'leaving';
};
