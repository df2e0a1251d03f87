/** Writes refusals: the error body of the published completions protocol, with the reason and whether the request has run. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Refusal, type RefusalReason} from '../shared/types.js';

/** The HTTP status of each reason. */
export const statusOfReason: Record<RefusalReason, number> = {
	'bad-request': 400,
	unauthorized: 401,
	'not-found': 404,
	'too-large': 413,
	'headers-too-large': 431,
	'memory-limit': 503,
	'connection-limit': 503,
	'too-slow': 408,
	'too-many-open': 429,
	'no-endpoint': 503,
	'region-not-allowed': 503,
	overloaded: 429,
	deadline: 503,
	draining: 503,
	paused: 503,
	'platform-unavailable': 503,
	'claim-rate': 429,
	'stale-configuration': 503,
	'key-reused': 422,
	'in-progress': 409,
	'outcome-unknown': 502,
	'endpoint-failed': 502,
	'crashes-endpoints': 503,
	'stream-cut': 502,
	'stream-unknown': 503,
	'stream-version-gone': 503,
	timeout: 504,
	cancelled: 499,
	internal: 500,
};

/** The body of a refusal, in the shape that clients of the published protocol parse. */
export type RefusalBody = {
	error: {
		message: string;
		type: string;
		code: RefusalReason;
		param: null;
		ran: Refusal['ran'];
		retry_after_milliseconds?: number;
		ask_at?: string;
	};
};

/**
 * Builds the body of a refusal.
 *
 * @param refusal - The refusal.
 * @returns The body, to be sent as JSON.
 */
export function refusalBody(refusal: Refusal): RefusalBody {
	const status = statusOfReason[refusal.reason];
	const {retryAfterMilliseconds, askAt} = refusal;
	return {
		error: {
			message: refusal.message,
			type: status < 500 ? 'invalid_request_error' : 'server_error',
			code: refusal.reason,
			param: null,
			ran: refusal.ran,
			...(retryAfterMilliseconds === undefined ? {} : {retry_after_milliseconds: retryAfterMilliseconds}),
			...(askAt === undefined ? {} : {ask_at: askAt}),
		},
	};
}

/**
 * Answers a request with a refusal immediately.
 *
 * @param response - The response; nothing may have been written to it yet.
 * @param refusal - The refusal.
 * @param further - A more specific status than the default of the reason, and additional headers.
 */
export function sendRefusal(response: ServerResponse, refusal: Refusal, further: {status?: number; headers?: Record<string, string>} = {}): void {
	const {retryAfterMilliseconds} = refusal;
	// A caller that waits for "100 Continue" may now omit its body, and the next request on this connection would be read as
	// that body. Closing the connection rules that out.
	const isBodyOutstanding = response.req.headers.expect !== undefined && !response.req.complete;
	const body = JSON.stringify(refusalBody(refusal));
	response.writeHead(further.status ?? statusOfReason[refusal.reason], {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(body),
		...(isBodyOutstanding ? {connection: 'close'} : {}),
		...(retryAfterMilliseconds === undefined ? {} : {'retry-after': String(Math.ceil(retryAfterMilliseconds / 1000))}),
		...further.headers,
	});
	response.end(body);
}
