/** What placing decides, and what it is told. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type EngineTraits} from '../../shared/routed-configuration.js';
import {type PromptShape} from '../../shared/prompt-shape.js';
import {type EndpointLoad} from './endpoint-load.js';
import {type PromptWork} from './prompt-work.js';

/** A request to place. */
export type PlacementRequest = {
	id: string;
	service: string;
	/** 0 is the most urgent. */
	rank: number;
	/** Time to the first byte that still counts as prompt. */
	objectiveMilliseconds: number;
	/** Absent for calls to plain services. */
	prompt: PromptShape | undefined;
	/** Cached parts are shared only under the same text. */
	cacheScope: string;
	engine: EngineTraits | undefined;
	/** Endpoints that had it already. */
	tried: ReadonlySet<string>;
	/** The weights that its model is to be served with; absent if none were named. */
	wantedVersion: number | undefined;
	/** Until when runs may begin on weights of a version that is older than the wanted one, in milliseconds of the steady clock. */
	olderWeightsUntil: (weightVersion: number) => number;
	/** Which parts of the prompt any engine with a weight version can fetch from a store or another engine, by index. */
	fetchableUnder: (weightVersion: number) => readonly boolean[];
	/** Whether the largest part that an engine would fetch lies in its own data centre. */
	isSourceNear: (endpoint: EndpointRecord) => boolean;
	/** Tokens of each part that an engine keeps, by its own events; `undefined` while those are not known. */
	keptAt: (endpoint: EndpointRecord) => readonly number[] | undefined;
	/** Engines that load weights now and reject what is sent to them. */
	loading: ReadonlySet<string>;
};

/** What a place was chosen by; logged, and the base on which placing learns. */
export type PlacementBasis = PromptWork & {
	/** Tokens that the engine reads before those of this prompt; `undefined` while the other instances' work is not known. */
	unreadBefore: number | undefined;
	/** Requests at the endpoint. */
	occupancy: number;
	costMilliseconds: number;
};

/** Where a request goes and by what, or that there is no place for it. */
export type Placement
	= | {kind: 'send'; endpoint: EndpointRecord; basis: PlacementBasis}
		| {kind: 'none'; reason: 'no-endpoint' | 'overloaded'; retryAfterMilliseconds: number};

/** An endpoint's own word on its load, as an answer carries it. */
export type ReportedLoad = {
	running: number;
	waiting: number;
	slots: number;
};

/** What became of a request that was placed. All times are milliseconds of the steady clock. */
export type PlacementEvent
	= | {kind: 'sent'; request: PlacementRequest; endpoint: EndpointRecord; basis: PlacementBasis}
		| {kind: 'answered'; request: PlacementRequest; endpoint: EndpointRecord; load: ReportedLoad | undefined}
		| {kind: 'ended'; request: PlacementRequest; endpoint: EndpointRecord; outcome: 'whole' | 'rejected' | 'failed' | 'unreachable' | 'cancelled'};

/** What all other instances have under way at an endpoint; `undefined` while that is not known. */
export type OthersAt = (endpoint: string, now: number) => EndpointLoad | undefined;

/** Places requests on endpoints. */
export interface PlacementPolicy {
	/**
	 * The endpoints worth asking about before the request is placed: all, or a bounded number of many.
	 *
	 * @param sample - 0 for the first look; each further one is at others.
	 */
	choices(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number, sample: number): EndpointRecord[];
	place(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): Placement;
	observe(event: PlacementEvent, now: number): void;
	/** Notes that bytes came from an endpoint. */
	heard(endpoint: EndpointRecord, now: number): void;
	/** Whether an endpoint has fallen silent with requests waiting. */
	isSilent(endpoint: EndpointRecord, now: number): boolean;
	/** How long ago the last byte came from an endpoint to any instance, in milliseconds. */
	idleMilliseconds(endpoint: EndpointRecord, now: number): number;
	/** Endpoints that cannot be reached and are due for a try to connect. */
	dueProbes(now: number): EndpointRecord[];
	/** Notes how a try to connect ended. */
	probed(endpoint: EndpointRecord, isReached: boolean, now: number): void;
	/** Forgets an incarnation that is gone. */
	forget(endpoint: EndpointRecord): void;
}
