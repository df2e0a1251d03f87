/** The trace of one request across the processes, built from its events. */
import {type TimelineEvent} from '../observability/timeline-event.js';
import {sortEvents} from './event-store.js';

/** One step of a trace: an arrow between two lanes, or, without `to`, a point on one lane. */
export type TraceStep = {
	afterMilliseconds: number;
	from: string;
	to?: string;
	label: string;
	isFailure: boolean;
};

/** The trace of a request: its lanes in order of appearance (`caller` first), and its steps in order of time. */
export type RequestTrace = {
	requestId: string;
	workspace: string;
	startedAt: number;
	lanes: string[];
	steps: TraceStep[];
};

/** Kinds whose arrow points from the endpoint to the instance. */
const answerKinds: ReadonlySet<string> = new Set(['first-token', 'attempt-failed', 'order-refused', 'piece-read', 'claim-answered']);
const failureKinds: ReadonlySet<string> = new Set(['request-refused', 'attempt-failed', 'order-refused', 'request-cancelled']);
const callerLane = 'caller';

/**
 * Builds the trace of a request.
 *
 * @param requestId - The ID of the request.
 * @param events - Events from all processes, in any order.
 * @returns The trace, or `undefined` if no event belongs to the request.
 */
export function buildRequestTrace(requestId: string, events: readonly TimelineEvent[]): RequestTrace | undefined {
	const ordered = sortEvents(events.filter(event => event.requestId === requestId));
	const [first] = ordered;
	if (first === undefined) {
		return undefined;
	}

	const steps = ordered.map(event => stepOf(event, first.at));
	const lanes = new Set([callerLane, ...steps.flatMap(({from, to}) => to === undefined ? [from] : [from, to])]);
	return {
		requestId, workspace: ordered.find(({workspace}) => workspace !== undefined)?.workspace ?? '', startedAt: first.at, lanes: [...lanes], steps,
	};
}

function stepOf(event: TimelineEvent, startedAt: number): TraceStep {
	const {kind, instance, endpoint, attempt, detail} = event;
	const label = [kind, ...(attempt === undefined ? [] : [`#${attempt}`]), ...(detail === undefined ? [] : [`(${detail})`])].join(' ');
	const common = {afterMilliseconds: event.at - startedAt, label, isFailure: failureKinds.has(kind)};
	if (kind === 'request-arrived') {
		return {...common, from: callerLane, to: instance};
	}

	if (kind === 'request-finished' || kind === 'request-refused') {
		return {...common, from: instance, to: callerLane};
	}

	if (endpoint === undefined) {
		return {...common, from: instance};
	}

	return answerKinds.has(kind) ? {...common, from: endpoint, to: instance} : {...common, from: instance, to: endpoint};
}
