/** Judges how the requests of the check of configuration changes ended. */
import {type JsonValue} from '../shared/types.js';
import {type EndpointRecordOfRequest, type Framing} from './changing-endpoints.js';
import {type ChangingRoute} from './changing-configuration.js';
import {type Received} from './kept-caller.js';

/** A request, and all that is known of its end. */
export type EndedRequest = {
	route: ChangingRoute;
	instance: string;
	attemptId: string;
	framing: Framing;
	startedAt: number;
	received: Received;
	expectedBody: string;
	endpoint: EndpointRecordOfRequest;
	/** The caller's time, or the shortest timeout that its instance may have applied. */
	shortestTimeoutMilliseconds: number;
	/** Whether the check killed or stopped the instance meanwhile. */
	wasInstanceEnded: boolean;
	/** Whether the check killed an instance through which the request had gone. */
	wasRelayKilled: boolean;
	/** Whether the check kept the instance short of processor time, so that it reads late. */
	isInstanceSlow: boolean;
};

export type ChangesReportCounts = {
	sent: number;
	/** Complete answers of endpoints with the expected body. */
	whole: number;
	/** Complete answers of endpoints with another body. */
	wrongAnswers: number;
	/** Answers that began and ended incomplete, with nothing that excuses it. */
	cut: number;
	/** Requests that were read, and whose connection ended without an answer, with nothing that excuses it. */
	unanswered: number;
	/** Requests that their instance still held when their callers gave up, after their timeout. */
	late: number;
	/** Requests that were refused as not run although an endpoint had run them. */
	wronglyRefused: number;
	/** Requests that ended incomplete or without an answer, by what excuses it. */
	excused: Record<string, number>;
	/** Other complete answers, by status. */
	otherAnswers: Record<string, number>;
	/** The first of the requests that break a rule, with the log lines of their instances. */
	findings: Finding[];
};

type Violation = 'wrongAnswers' | 'cut' | 'unanswered' | 'late' | 'wronglyRefused';

/** A request that breaks a rule. */
type Finding = Omit<EndedRequest, 'received' | 'expectedBody'> & {
	violation: Violation;
	received: Omit<Received, 'body'> & {bodyBytes: number; expectedBytes: number};
	lines: Array<Record<string, JsonValue>>;
};

/** Statuses that promise that the request has not run and never will. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** A request may cross the close of its connection for this long. */
const crossingMilliseconds = 200;
const timerMilliseconds = 50;
const maxFindings = 8;

/**
 * Judges requests. What their endpoints did is known only after all of them have ended.
 *
 * @param requests - The requests.
 * @param lines - The log lines of all instances.
 */
export function judgeRequests(requests: readonly EndedRequest[], lines: ReadonlyArray<Record<string, JsonValue>>): ChangesReportCounts {
	const counts: ChangesReportCounts = {
		sent: requests.length, whole: 0, wrongAnswers: 0, cut: 0, unanswered: 0, late: 0, wronglyRefused: 0, excused: {}, otherAnswers: {}, findings: [],
	};
	for (const request of requests) {
		const {received: {status, isWhole}} = request;
		const excuse = isWhole ? undefined : excuseOf(request, heldMilliseconds(request, lines));
		const violation = excuse === undefined ? violationOf(request) : undefined;
		if (violation !== undefined) {
			counts[violation]++;
			counts.findings.push(findingOf(violation, request, lines));
		} else if (excuse !== undefined) {
			increment(counts.excused, excuse);
		} else if (status === 200) {
			counts.whole++;
		} else {
			increment(counts.otherAnswers, String(status));
		}
	}

	return {...counts, findings: counts.findings.slice(0, maxFindings)};
}

/** The rule that a request breaks if nothing excuses its end. */
function violationOf({received: {status, isWhole, body, ending}, expectedBody, endpoint}: EndedRequest): Violation | undefined {
	if (!isWhole) {
		const kind = status === 0 ? 'unanswered' : 'cut';
		return ending === 'abandoned' ? 'late' : kind;
	}

	if (status === 200) {
		return body === expectedBody ? undefined : 'wrongAnswers';
	}

	return refusalStatuses.has(status) && endpoint.runs > 0 ? 'wronglyRefused' : undefined;
}

function findingOf(violation: Violation, request: EndedRequest, lines: ReadonlyArray<Record<string, JsonValue>>): Finding {
	const {expectedBody, received: {body, ...received}, ...others} = request;
	return {
		violation,
		...others,
		received: {...received, bodyBytes: body.length, expectedBytes: expectedBody.length},
		lines: lines.filter(({id}) => id === request.attemptId),
	};
}

/** For how long the instance had a request that it had read; `undefined` if its log does not say. */
function heldMilliseconds({attemptId}: EndedRequest, lines: ReadonlyArray<Record<string, JsonValue>>): number | undefined {
	const line = lines.find(({id, kind}) => id === attemptId && kind === 'request-ended');
	return line === undefined ? undefined : Number(line.milliseconds);
}

/** What excuses that a request has no complete answer. */
function excuseOf({received, endpoint, startedAt, shortestTimeoutMilliseconds, wasInstanceEnded, wasRelayKilled, isInstanceSlow}: EndedRequest, held: number | undefined): string | undefined {
	const {ending, sentAt, endedAt, status} = received;
	// An endpoint that ends before its answer leaves room for another endpoint, or for a failure.
	if (endpoint.wasBrokenOff && status !== 0) {
		return 'endpoint ended';
	}

	if (ending === 'refused') {
		return 'connection refused';
	}

	if (wasInstanceEnded) {
		return 'instance ended';
	}

	if (wasRelayKilled && status !== 0) {
		return 'relay killed';
	}

	if (ending === 'abandoned') {
		const isReadLate = held === undefined ? isInstanceSlow && endpoint.arrivals === 0 : held < shortestTimeoutMilliseconds;
		return isReadLate ? 'read late' : undefined;
	}

	if (endedAt - startedAt >= shortestTimeoutMilliseconds - timerMilliseconds) {
		return 'timeout';
	}

	// An instance that has logged the end of a request has read it.
	if (status !== 0 || endpoint.arrivals > 0 || held !== undefined) {
		return undefined;
	}

	if (sentAt === undefined) {
		return 'sent in part';
	}

	return ending === 'reset' || endedAt - sentAt < crossingMilliseconds ? 'closed unread' : undefined;
}

function increment(counts: Record<string, number>, name: string): void {
	counts[name] = (counts[name] ?? 0) + 1;
}
