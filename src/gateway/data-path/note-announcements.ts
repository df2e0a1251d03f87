/**
 * What an endpoint says of itself in the head of an answer: that it leaves, that it needs a rest, how many requests it
 * takes from all instances together, or that it is brittle. What another endpoint says at its address is ignored.
 */
import {spreadRetry} from '../../decision/limits/spread-retry.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type GatewayContext} from '../gateway-context.js';
import {parseRetryAfter} from '../../shared/parse-retry-after.js';
import {type EndpointAnswer} from './endpoint-exchange.js';

/** An answer and the attempt that it belongs to. */
export type ReceivedAnswer = {
	attemptId: string;
	endpoint: EndpointRecord;
	answer: EndpointAnswer;
	/** Whether it proves that the endpoint served the request. */
	isServed: boolean;
	/** When the request was sent, in milliseconds of the steady clock. */
	sentAt: number;
};

/** An answer with this status may ask for a rest. */
const restStatus = 503;
/** Instances that were told to rest at the same time come back spread over this time. */
const maxRestSpreadMilliseconds = 500;

/** Records what the head of an answer announces, whatever its status. */
export function noteAnnouncements(context: GatewayContext, received: ReceivedAnswer): void {
	const {names, limits, brittle} = context;
	const {endpoint, answer, isServed, sentAt} = received;
	if ((answer.header(names.endpointName) ?? endpoint.name) !== endpoint.name) {
		return;
	}

	noteLeaving(context, received);
	noteRest(context, received);
	limits.note(endpoint, {limit: answer.header(names.endpointLimit), isServed, sentAt});
	brittle.note(endpoint, {brittle: answer.header(names.endpointBrittle), isServed, sentAt});
}

function noteLeaving({names, endpoints, log}: GatewayContext, {attemptId, endpoint, answer}: ReceivedAnswer): void {
	if (answer.header(names.endpointLeaving)?.trim() === '1' && endpoints.announceLeaving(endpoint)) {
		log.record('leaving-announced', {id: attemptId, endpoint: endpoint.name, status: answer.status});
	}
}

function noteRest({clock, rests, log}: GatewayContext, {attemptId, endpoint, answer}: ReceivedAnswer): void {
	const now = clock.moment();
	const incarnation = incarnationOf(endpoint);
	if (answer.status !== restStatus) {
		rests.noteAccepted(incarnation, now.steady);
		return;
	}

	const retryAfter = answer.header('retry-after');
	const milliseconds = parseRetryAfter(retryAfter, now.wall);
	if (milliseconds !== undefined) {
		const spread = Math.min(maxRestSpreadMilliseconds, spreadRetry(milliseconds, attemptId) - milliseconds);
		rests.request(incarnation, milliseconds + spread, now.steady);
		log.record('rest-requested', {id: attemptId, endpoint: endpoint.name, retryAfter});
	}
}
