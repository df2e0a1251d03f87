/**
 * Tells logs and metrics how a routed request ended, and by what its endpoint was chosen.
 *
 * Nine of ten requests end as they should, and their lines would fill what is kept of a log before anybody looks for a
 * failure. An ordinary end therefore has a short line of its own kind, and one with an answer that only the end of its connection
 * marks as whole has a short `request-ended`. What decided it is still there: the version of the
 * configuration, and by what the endpoint was chosen, as a list whose places docs/OPERATIONS.md names.
 */
import {type PlacementBasis} from '../../decision/placement/placement.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type Route} from '../../shared/routed-configuration.js';
import {type JsonValue} from '../../shared/types.js';
import {type GatewayContext} from '../gateway-context.js';
import {type DecisionFields, type DecisionKind} from '../observability/decision-log.js';
import {type AnswerTransfer} from './answer-transfer.js';
import {type PermittedRequest} from './judge-request.js';
import {type RequestHead} from './request-head.js';

/** How a routed request ended. */
export type RoutedEnd = 'whole' | 'refused' | 'failed' | 'failure-passed-on' | 'broken-off' | 'client-left' | 'timeout';

/** What is told of it. */
export type EndFacts = {
	end: RoutedEnd;
	status: number;
	/** In the order of the tries. */
	endpoints: string[];
	sends: number;
	mayHaveRun: boolean;
	/** By what the last endpoint was chosen. */
	placedBy: PlacementBasis | undefined;
	/** On the steady clock, in milliseconds. */
	firstByteAt: number | undefined;
	/** When the last try was sent, on the steady clock, in milliseconds. */
	sentAt?: number | undefined;
	/** How the last answer came; absent where it marked its own end and ended there, as nearly all do. */
	transfer?: AnswerTransfer;
};

/** The request that ended. */
export type EndedRequest = {head: Pick<RequestHead, 'attemptId'>; permitted: Pick<PermittedRequest, 'route' | 'service' | 'configurationVersion'>; arrivedAt: Moment};

/** A line of the log. */
export type EndLine = {kind: DecisionKind; fields: DecisionFields};

/** Answers from here on say that the request was not served, by whomever. */
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
	metrics.whole.observe({kind}, (now - arrivedAt.steady) / 1000);
	if (firstByteAt !== undefined) {
		metrics.firstByte.observe({kind}, (firstByteAt - arrivedAt.steady) / 1000);
	}

	const line = endLine(work, facts, now);
	log.record(line.kind, line.fields);
}

/**
 * Gives the line for the end of a request: a short one for an end as it should be, else all that is known.
 *
 * @param work - The request.
 * @param facts - How it ended.
 * @param now - Milliseconds of the steady clock.
 */
export function endLine(work: EndedRequest, facts: EndFacts, now: number): EndLine {
	if (!isAsItShould(work, facts, now)) {
		return endedLine(work, facts, now);
	}

	const {transfer} = facts;
	if (transfer === undefined) {
		return servedLine(work, facts, now);
	}

	return isEndedByConnection(transfer) ? unmarkedLine(work, facts, transfer, now) : endedLine(work, facts, now);
}

/** Whether a request ended as it should: whole, at the first endpoint, within the route's objective. */
function isAsItShould({permitted: {route}, arrivedAt}: EndedRequest, facts: EndFacts, now: number): boolean {
	const {end, status, sends, endpoints, firstByteAt} = facts;
	const isServedAtOnce = end === 'whole' && status < firstFailureStatus && sends === 1 && endpoints.length === 1;
	const promptAt = isStream(route) ? firstByteAt ?? now : now;
	return isServedAtOnce && promptAt - arrivedAt.steady <= route.objectiveMilliseconds;
}

/** Whether nothing but the orderly end of its connection says that an answer is whole. */
function isEndedByConnection({framing, bodyEnd}: AnswerTransfer): boolean {
	return framing === 'connection' && bodyEnd === 'in-order';
}

function servedLine({head, permitted, arrivedAt}: EndedRequest, {endpoints, placedBy}: EndFacts, now: number): EndLine {
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
 * Gives the line of an answer that ended with its connection and is ordinary otherwise.
 *
 * The end of a connection is all that says that such an answer is whole; where that is wrong the caller has half of it. So
 * it is not told as an ordinary end, whose lines are left out first: the line has the bytes that came, the connection and
 * how it ended, which tell half from whole. Some services answer nothing else, so
 * it has little more than that: 365 bytes with a prompt's placement, where the full line of the same request has 562.
 */
function unmarkedLine({head, permitted, arrivedAt}: EndedRequest, {endpoints, placedBy}: EndFacts, transfer: AnswerTransfer, now: number): EndLine {
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

function endedLine({head, permitted, arrivedAt}: EndedRequest, facts: EndFacts, now: number): EndLine {
	const {end, placedBy, firstByteAt, sentAt, ...counts} = facts;
	return {
		kind: 'request-ended',
		fields: {
			id: head.attemptId,
			route: permitted.route.name,
			service: permitted.service,
			outcome: end,
			...counts,
			placedBy: placedBy === undefined ? undefined : loggedBasis(placedBy),
			configurationVersion: permitted.configurationVersion,
			objectiveMilliseconds: end === 'whole' ? permitted.route.objectiveMilliseconds : undefined,
			sentMilliseconds: sentAt === undefined ? undefined : Math.round(sentAt - arrivedAt.steady),
			firstByteMilliseconds: firstByteAt === undefined ? undefined : Math.round(firstByteAt - arrivedAt.steady),
			milliseconds: Math.round(now - arrivedAt.steady),
		},
	};
}

function isStream({kind}: Route): boolean {
	return kind === 'stream' || kind === 'resumable-stream';
}

/** Requests there and cost; for a prompt also its tokens kept there, to fetch and to read, and unread ones before them. */
function shortBasis(basis: PlacementBasis, {carriesPrompt}: Route): JsonValue {
	const {occupancy, keptTokens, fetchTokens, readTokens, unreadBefore} = basis;
	const every = [occupancy, Math.round(basis.costMilliseconds)];
	return carriesPrompt ? [...every, keptTokens, fetchTokens, readTokens, unreadBefore ?? null] : every;
}

/** What a place was chosen by, as it is logged; `null` where the other instances' work was not known. */
function loggedBasis({unreadBefore, costMilliseconds, ...basis}: PlacementBasis): JsonValue {
	return {...basis, unreadBefore: unreadBefore ?? null, costMilliseconds: Math.round(costMilliseconds)};
}
