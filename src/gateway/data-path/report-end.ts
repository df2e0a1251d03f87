/**
 * Reports to log and metrics how a routed request ended and by which estimates its endpoint was chosen.
 *
 * Nine of ten requests end normally, and full lines for them would fill the retained log before anybody looks for a failure.
 * A normal end therefore has a short line of its own kind; if only the end of the connection marks the answer as complete, it
 * has a short `request-ended`. Both still hold the configuration version and the estimates that decided the placement, as an
 * array whose positions docs/OPERATIONS.md names.
 */
import {type Duplex} from 'node:stream';
import {type PlacementBasis} from '../../decision/placement/placement.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type Route} from '../../shared/routed-configuration.js';
import {connectionCloseOf} from '../../serving/connection-close.js';
import {type JsonValue} from '../../shared/types.js';
import {type GatewayContext} from '../gateway-context.js';
import {type DecisionFields, type DecisionKind} from '../observability/decision-log.js';
import {type AnswerTransfer} from './answer-transfer.js';
import {type LatePhase, longestPhase} from './late-phase.js';
import {type PermittedRequest} from './validate-request.js';
import {type RequestHead} from './request-head.js';
import {resumptionFields} from './resumption-fields.js';

/** How a routed request ended. */
export type RequestOutcome = 'whole' | 'refused' | 'failed' | 'failure-passed-on' | 'broken-off' | 'client-left' | 'timeout';

/** What is reported about a request that ended. */
export type EndFacts = {
	end: RequestOutcome;
	status: number;
	/** In the order of the attempts. */
	endpoints: string[];
	sends: number;
	mayHaveRun: boolean;
	/** The estimates by which the last endpoint was chosen. */
	placedBy: PlacementBasis | undefined;
	/** In milliseconds of the steady clock. */
	firstByteAt: number | undefined;
	/** When the last attempt was sent, in milliseconds of the steady clock. */
	sentAt?: number | undefined;
	/** How often the coordinator was queried before the request was sent, and for how long, in milliseconds. */
	queried?: {queries: number; milliseconds: number};
	/** By how much the event loop was late when the request was read. */
	lagMilliseconds?: number;
	/** The longest silence of an endpoint during an attempt; absent if there was none. */
	silentMilliseconds?: number | undefined;
	/** How the last answer was transferred; absent where it ended by its own framing, as nearly all do. */
	transfer?: AnswerTransfer;
};

/** The request that ended. */
export type EndedRequest = {
	head: Pick<RequestHead, 'attemptId'> & Partial<Pick<RequestHead, 'lastEventId' | 'resumes'>>;
	permitted: Pick<PermittedRequest, 'route' | 'service' | 'configurationVersion'>;
	arrivedAt: Moment;
	request: {socket: Duplex};
};

/** A line of the log. */
export type EndLogLine = {kind: DecisionKind; fields: DecisionFields};

/** Lags below this are usual. */
const minLoggedLagMilliseconds = 20;
/** From this status on an answer means that the request was not served, whether by the gateway or by the endpoint. */
const firstFailureStatus = 400;

/**
 * Writes one log line and counts the request.
 *
 * @param context - Where the logs and metrics are.
 * @param work - The request.
 * @param facts - How it ended.
 * @param now - Milliseconds of the steady clock.
 */
export function reportEnd({log, metrics}: Pick<GatewayContext, 'log' | 'metrics'>, work: EndedRequest, facts: EndFacts, now: number): void {
	const {permitted, arrivedAt} = work;
	const {kind} = permitted.route;
	const {end, firstByteAt} = facts;
	metrics.requests.inc({kind, outcome: end});
	metrics.requestDuration.observe({kind}, (now - arrivedAt.steady) / 1000);
	if (firstByteAt !== undefined) {
		metrics.timeToFirstByte.observe({kind}, (firstByteAt - arrivedAt.steady) / 1000);
	}

	const latePhase = latePhaseOf(work, facts, now);
	if (latePhase !== undefined) {
		metrics.lateAnswers.inc({kind, phase: latePhase});
	}

	const line = endLogLine(work, facts, now);
	log.record(line.kind, line.fields);
}

/**
 * Builds the log line for the end of a request: a short one for a normal end, otherwise one with all that is known.
 *
 * @param work - The request.
 * @param facts - How it ended.
 * @param now - Milliseconds of the steady clock.
 */
export function endLogLine(work: EndedRequest, facts: EndFacts, now: number): EndLogLine {
	if (!isNormalEnd(work, facts, now)) {
		return endedLine(work, facts, now);
	}

	const {transfer} = facts;
	if (transfer === undefined) {
		return servedLine(work, facts, now);
	}

	return isEndedByConnection(transfer) ? endedByConnectionLine(work, facts, transfer, now) : endedLine(work, facts, now);
}

/**
 * Whether a request ended normally: completely, at the first endpoint, which was not silent meanwhile, within the route's objective.
 * A request that takes a stream up follows on a failure, so it is never logged as a normal end.
 */
function isNormalEnd({head, permitted: {route}, arrivedAt}: EndedRequest, facts: EndFacts, now: number): boolean {
	const {end, status, sends, endpoints, firstByteAt, silentMilliseconds} = facts;
	const isServedDirectly = end === 'whole' && status < firstFailureStatus && sends === 1 && endpoints.length === 1 && silentMilliseconds === undefined;
	return isServedDirectly && !isResumption(head, route) && respondedAt(route, firstByteAt, now) - arrivedAt.steady <= route.objectiveMilliseconds;
}

/** When the caller had what the route's objective counts: the first byte of a stream, or the whole answer of a call. */
function respondedAt(route: Route, firstByteAt: number | undefined, now: number): number {
	return isStream(route) ? firstByteAt ?? now : now;
}

/** The phase that took most of a complete answer which came after the route's objective; `undefined` for any other end. */
function latePhaseOf({permitted: {route}, arrivedAt}: EndedRequest, facts: EndFacts, now: number): LatePhase | undefined {
	const {end, status, firstByteAt, sentAt, queried, sends} = facts;
	const responded = respondedAt(route, firstByteAt, now);
	if (end !== 'whole' || status >= firstFailureStatus || sentAt === undefined || responded - arrivedAt.steady <= route.objectiveMilliseconds) {
		return undefined;
	}

	return longestPhase({
		arrivedAt: arrivedAt.steady, sentAt, respondedAt: responded, queriedMilliseconds: queried?.milliseconds ?? 0, sends,
	});
}

/** Whether only the orderly end of its connection shows that an answer is complete. */
function isEndedByConnection({framing, bodyEnd}: AnswerTransfer): boolean {
	return framing === 'connection' && bodyEnd === 'in-order';
}

function servedLine({head, permitted, arrivedAt}: EndedRequest, {endpoints, placedBy}: EndFacts, now: number): EndLogLine {
	return {
		kind: 'request-served',
		fields: {
			id: head.attemptId,
			service: permitted.service,
			endpoint: endpoints[0],
			placedBy: placedBy === undefined ? undefined : shortBasis(placedBy, permitted.route),
			version: permitted.configurationVersion,
			milliseconds: Math.round(now - arrivedAt.steady),
		},
	};
}

/**
 * Builds the line of an otherwise normal answer that ended with its connection.
 *
 * Only the end of the connection shows that such an answer is complete; where that is wrong the caller has half of it. So it
 * is not logged as a normal end, whose lines are dropped first. Its line holds the bytes that arrived, the connection and how
 * it ended, which distinguish half an answer from a complete one. Some services send only such answers, so the line holds
 * little more than that: 365 bytes with a prompt's placement, where the full line of the same request has 562.
 */
function endedByConnectionLine({head, permitted, arrivedAt}: EndedRequest, {endpoints, placedBy}: EndFacts, transfer: AnswerTransfer, now: number): EndLogLine {
	return {
		kind: 'request-ended',
		fields: {
			id: head.attemptId,
			service: permitted.service,
			outcome: 'whole',
			endpoints,
			transfer,
			placedBy: placedBy === undefined ? undefined : shortBasis(placedBy, permitted.route),
			configurationVersion: permitted.configurationVersion,
			milliseconds: Math.round(now - arrivedAt.steady),
		},
	};
}

function endedLine({head, permitted, arrivedAt, request}: EndedRequest, facts: EndFacts, now: number): EndLogLine {
	const {
		end, placedBy, firstByteAt, sentAt, queried, lagMilliseconds = 0, ...counts
	} = facts;
	return {
		kind: 'request-ended',
		fields: {
			id: head.attemptId,
			route: permitted.route.name,
			service: permitted.service,
			outcome: end,
			...(end === 'client-left' ? connectionCloseOf(request.socket) : {}),
			...isResumption(head, permitted.route) ? resumptionFields(head) : {},
			...counts,
			placedBy: placedBy === undefined ? undefined : loggedBasis(placedBy),
			configurationVersion: permitted.configurationVersion,
			objectiveMilliseconds: end === 'whole' ? permitted.route.objectiveMilliseconds : undefined,
			queried: queried === undefined || queried.queries === 0 ? undefined : [queried.queries, Math.round(queried.milliseconds)],
			lagMilliseconds: lagMilliseconds < minLoggedLagMilliseconds ? undefined : Math.round(lagMilliseconds),
			sentMilliseconds: sentAt === undefined ? undefined : Math.round(sentAt - arrivedAt.steady),
			firstByteMilliseconds: firstByteAt === undefined ? undefined : Math.round(firstByteAt - arrivedAt.steady),
			milliseconds: Math.round(now - arrivedAt.steady),
		},
	};
}

/** Whether the caller takes up a stream that another request began. */
function isResumption({lastEventId}: EndedRequest['head'], {kind}: Route): boolean {
	return kind === 'resumable-stream' && lastEventId !== undefined;
}

function isStream({kind}: Route): boolean {
	return kind === 'stream' || kind === 'resumable-stream';
}

/**
 * Occupancy and cost; for a prompt also its tokens that are cached, to fetch and to prefill, and those pending before them; where
 * the endpoint has reported its pace, also the reported one, its age, and the one expected for the prefill; last, where idle connections
 * are preferred, the connection that was expected to be used.
 */
function shortBasis(basis: PlacementBasis, {carriesPrompt}: Route): JsonValue {
	const {
		occupancy, keptTokens, fetchTokens, readTokens, unreadBefore, pace, connection,
	} = basis;
	const every = [occupancy, Math.round(basis.costMilliseconds)];
	const paces = pace === undefined ? [] : [pace.percent, pace.ageMilliseconds, pace.expectedPercent];
	const last = [...paces, ...(connection === undefined ? [] : [connection])];
	return carriesPrompt ? [...every, keptTokens, fetchTokens, readTokens, unreadBefore ?? null, ...last] : [...every, ...last];
}

/** The estimates by which an endpoint was chosen, as logged; `null` where the work of other instances was not known. */
function loggedBasis({unreadBefore, costMilliseconds, fetchMilliseconds, ...basis}: PlacementBasis): JsonValue {
	return {
		...basis, fetchMilliseconds: Math.round(fetchMilliseconds), unreadBefore: unreadBefore ?? null, costMilliseconds: Math.round(costMilliseconds),
	};
}
