/**
 * The HTTP client for plain services. A call is forwarded unchanged, and the connection pool never retries one. An answer with
 * neither Content-Length nor chunked encoding is an unknown outcome, since a truncated one would look complete.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type PlainAnswer, type PlainCall, type PlainFailure, type PlainService,
} from '../ports/plain-service.js';
import {
	connectionPool, describeError, failedBeforeAnyByte, freshConnectionPool,
} from './http-client.js';
import {readWholeBody} from './whole-body.js';

const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
const unforwardedHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length']);

export class HttpPlainService implements PlainService {
	async call(address: string, call: PlainCall, signal: AbortSignal): Promise<Either<PlainFailure, PlainAnswer>> {
		if (signal.aborted) {
			return Left({kind: 'not-sent', detail: 'cancelled before it was sent'});
		}

		try {
			const isIdempotent = idempotentMethods.has(call.method);
			const answer = await (isIdempotent ? connectionPool : freshConnectionPool).request({
				origin: `http://${address}`,
				path: call.path,
				method: call.method,
				headers: {...call.headers, 'x-request-id': call.requestId},
				body: call.body.length === 0 ? null : call.body,
				reset: !isIdempotent,
				signal,
			});
			const body = await readWholeBody(call.method, answer, call.headers['accept-encoding']);
			const headers = Object.entries(answer.headers)
				.filter(([name, value]) => value !== undefined && !unforwardedHeaders.has(name))
				.map(([name, value]): [string, string] => [name, String(value)]);
			return Right({status: answer.statusCode, headers: Object.fromEntries(headers), body});
		} catch (error) {
			const kind = failedBeforeAnyByte(error) ? 'not-sent' : 'outcome-unknown';
			return Left({kind, detail: describeError(error)});
		}
	}
}
