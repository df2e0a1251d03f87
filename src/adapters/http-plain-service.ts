/**
 * A plain service over HTTP. The call is passed on as it is; the connection pool never repeats one. Its answer must have a
 * length or chunks: one without counts as an unknown outcome, since half of it cannot be told from all of it.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type PlainAnswer, type PlainCall, type PlainFailure, type PlainService,
} from '../ports/plain-service.js';
import {
	connectionPool, describeError, failedBeforeAnyByte, freshConnectionPool,
} from './http-client.js';
import {readWholeBody} from './whole-body.js';

const repeatableMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
const headersNotPassedOn = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length']);

export class HttpPlainService implements PlainService {
	async call(address: string, call: PlainCall, signal: AbortSignal): Promise<Either<PlainFailure, PlainAnswer>> {
		if (signal.aborted) {
			return Left({kind: 'not-sent', detail: 'given up before it was sent'});
		}

		try {
			const isRepeatable = repeatableMethods.has(call.method);
			const answer = await (isRepeatable ? connectionPool : freshConnectionPool).request({
				origin: `http://${address}`,
				path: call.path,
				method: call.method,
				headers: {...call.headers, 'x-request-id': call.requestId},
				body: call.body.length === 0 ? null : call.body,
				reset: !isRepeatable,
				signal,
			});
			const body = await readWholeBody(call.method, answer);
			const headers = Object.entries(answer.headers)
				.filter(([name, value]) => value !== undefined && !headersNotPassedOn.has(name))
				.map(([name, value]): [string, string] => [name, String(value)]);
			return Right({status: answer.statusCode, headers: Object.fromEntries(headers), body});
		} catch (error) {
			const kind = failedBeforeAnyByte(error) ? 'not-sent' : 'outcome-unknown';
			return Left({kind, detail: describeError(error)});
		}
	}
}
