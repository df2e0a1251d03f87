/** Types of placement: the request, the decision, the events that it learns from, and the policy. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type EngineTraits} from '../../shared/routed-configuration.js';
import {type PromptShape} from '../../shared/prompt-shape.js';
import {type ExpectedConnection} from '../connections/expected-connection.js';
import {type EndpointLoad} from './endpoint-load.js';
import {type PromptWork} from './prompt-work.js';

/** A request to place. */
export type PlacementRequest = {
	id: string;
	service: string;
	/** 0 is the most urgent. */
	rank: number;
	/** Time to the first byte that still meets the objective. */
	objectiveMilliseconds: number;
	/** Absent for calls to plain services. */
	prompt: PromptShape | undefined;
	/** Cached blocks are shared only within the same scope. */
	cacheScope: string;
	engine: EngineTraits | undefined;
	/** Endpoints that the request was already sent to. */
	attempted: ReadonlySet<string>;
	/** The weight version that its model should be served with; absent if operators named none. */
	wantedVersion: number | undefined;
	/** Until when runs may start on weights of a version older than the wanted one, in milliseconds of the steady clock. */
	olderWeightsUntil: (weightVersion: number) => number;
	/** Milliseconds that an engine would take to fetch each block, by index; `undefined` where it should not fetch it. */
	fetchMillisecondsAt: (endpoint: EndpointRecord) => ReadonlyArray<number | undefined>;
	/** Tokens of each block that an engine has cached, by its own events; `undefined` while those are unknown. */
	cachedTokensAt: (endpoint: EndpointRecord) => readonly number[] | undefined;
	/** Engines that are loading weights and reject what is sent to them. */
	loading: ReadonlySet<string>;
};

/** The estimates that an endpoint was chosen by. They are logged, and the prefill speed is learned from them. */
export type PlacementBasis = PromptWork & {
	/**
	 * Tokens that the engine prefills before those of this prompt; `undefined` while the load of the other instances is
	 * unknown.
	 */
	unreadBefore: number | undefined;
	/** Requests at the endpoint. */
	occupancy: number;
	costMilliseconds: number;
	/** The endpoint's last figure of its pace; absent where it has reported none. */
	pace?: PlacementPace;
	/** Whether another endpoint would have been chosen if its pace were the mean of the service; absent otherwise. */
	avoidsSlow?: true;
	/** The connection that was expected to be used; absent where endpoints with an idle one are not preferred. */
	connection?: ExpectedConnection;
};

/** What was known of the pace of the chosen endpoint. */
export type PlacementPace = {
	/** The factor that it last reported, in percent. */
	percent: number;
	ageMilliseconds: number;
	/** The factor that was expected for the prefill, in percent. */
	expectedPercent: number;
};

/** The endpoint that a request is sent to and the basis of that choice, or the reason for a refusal. */
export type Placement
	= | {kind: 'send'; endpoint: EndpointRecord; basis: PlacementBasis}
		| {kind: 'none'; reason: 'no-endpoint' | 'overloaded'; retryAfterMilliseconds: number};

/** The load that an endpoint reports in the headers of an answer. */
export type ReportedLoad = {
	running: number;
	waiting: number;
	slots: number;
	/** How long work takes there at present, in percent of the usual; absent where the endpoint does not report it. */
	pacePercent?: number;
};

/** What happened to a placed request. */
export type PlacementEvent
	= | {kind: 'sent'; request: PlacementRequest; endpoint: EndpointRecord; basis: PlacementBasis}
		| {kind: 'answered'; request: PlacementRequest; endpoint: EndpointRecord; load: ReportedLoad | undefined}
		| {kind: 'ended'; request: PlacementRequest; endpoint: EndpointRecord; outcome: 'whole' | 'rejected' | 'failed' | 'unreachable' | 'cancelled'};

/** Gives the load of all other instances at an endpoint; `undefined` while it is unknown. */
export type OtherInstancesLoad = (endpoint: string, now: number) => EndpointLoad | undefined;

/** Places requests on endpoints. All times are milliseconds of the steady clock. */
export interface PlacementPolicy {
	/**
	 * Chooses the endpoints to query the coordinator about before the request is placed: all of a few, or a bounded
	 * number of many.
	 *
	 * @param sample - 0 for the first sample; each further one draws other endpoints.
	 */
	shortlist(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number, sample: number): EndpointRecord[];
	place(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): Placement;
	observe(event: PlacementEvent, now: number): void;
	/** Records the pace that an endpoint has reported to this instance just now, in percent. */
	notePace(endpoint: EndpointRecord, pacePercent: number, now: number): void;
	/** Milliseconds that an engine of a service takes to prefill tokens at the usual pace. */
	prefillMilliseconds(service: string, tokens: number): number;
	/** The mean pace of a service as a factor; `undefined` where no endpoint reports it. */
	meanPaceOf(service: string): number | undefined;
	/** By how much longer than usual an endpoint may be silent because it is slow; at least 1. */
	silenceFactor(endpoint: EndpointRecord, now: number): number;
	/** Records that bytes arrived from an endpoint. */
	received(endpoint: EndpointRecord, now: number): void;
	/** Whether an endpoint with waiting requests has sent nothing for a while; it gets no new requests while others do. */
	isSilent(endpoint: EndpointRecord, now: number): boolean;
	/** Records that the first byte of an answer had not arrived after this time, when its request was cancelled. */
	noteUnanswered(endpoint: EndpointRecord, waitedMilliseconds: number): void;
	/** Whether it has done so for much longer than its service usually takes. */
	isUnresponsive(endpoint: EndpointRecord, now: number): boolean;
	/** Time since the last byte from an endpoint to any instance, in milliseconds. */
	idleMilliseconds(endpoint: EndpointRecord, now: number): number;
	/** Endpoints that could not be reached, and have not been reached since. */
	unreachable(): EndpointRecord[];
	/** Records that an endpoint cannot be reached. */
	noteUnreachable(endpoint: EndpointRecord, now: number): void;
	/** Unreachable endpoints that are due for a connection attempt. */
	dueProbes(now: number): EndpointRecord[];
	/** Records the outcome of a connection attempt. */
	noteProbe(endpoint: EndpointRecord, isReached: boolean, now: number): void;
	/** Forgets the failures of an endpoint that is reached by another path from now on. */
	noteNewPath(endpoint: EndpointRecord): void;
	/** Forgets an incarnation that has ended. */
	forget(endpoint: EndpointRecord): void;
}
