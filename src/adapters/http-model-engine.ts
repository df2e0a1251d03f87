/**
 * The HTTP client for model engines. Completions use the published completions protocol: `POST /v1/chat/completions` or
 * `/v1/completions` with `stream: true`, answered by server-sent events that end with `[DONE]`. An engine also serves
 * `GET /load`, `GET /cache-events`, `POST /orders` and `GET`/`PUT /kv/{pieceKey}`.
 */
import {type Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type Dispatcher} from 'undici';
import {
	type CacheEvent, type EngineCall, type EngineEvent, type EngineFailure, type EngineOrder, type LoadReport,
	type ModelEngine, type OrderFailure,
} from '../ports/model-engine.js';
import {parseRetryAfter} from '../shared/parse-retry-after.js';
import {transferCodingOf} from '../shared/transfer-coding-of.js';
import {type JsonValue} from '../shared/types.js';
import {CompletionStreamReader} from './completion-stream.js';
import {discardBody} from './discard-body.js';
import {
	connectionPool, describeError, exchangeJson, failedBeforeAnyByte, streamBufferBytes, streamPool,
} from './http-client.js';
import {isUncoded, readWholeBody} from './whole-body.js';

const controlTimeoutMilliseconds = 1000;
/** Ends a stream that nothing else cancels. The users of this port have shorter timeouts of their own. */
const maxStreamPauseMilliseconds = 300_000;
export class HttpModelEngine implements ModelEngine {
	async * complete(address: string, call: EngineCall, signal: AbortSignal): AsyncIterable<Either<EngineFailure, EngineEvent>> {
		try {
			const answer = await streamPool.request({
				origin: `http://${address}`,
				path: call.shape === 'chat' ? '/v1/chat/completions' : '/v1/completions',
				method: 'POST',
				headers: headersOf(call),
				body: JSON.stringify({...call.body, stream: true, stream_options: {include_usage: true}}),
				headersTimeout: 0,
				highWaterMark: streamBufferBytes,
				bodyTimeout: maxStreamPauseMilliseconds,
				signal,
			});
			if (answer.statusCode !== 200) {
				// The status and the headers decide; a stalled body must not delay the attempt at another engine.
				void discardBody(answer.body);
				yield Left(classifyRejection(answer.statusCode, answer.headers, Date.now()));
				return;
			}

			if (transferCodingOf(answer.headers['transfer-encoding']) === 'other' || !isUncoded(answer)) {
				void discardBody(answer.body);
				yield Left({kind: 'broken', detail: 'the stream is in a coding that was not asked for'});
				return;
			}

			yield Right({kind: 'started', weightVersion: String(answer.headers['x-weight-version'] ?? '')});
			// A single generator reads and yields: delegating to a second one by `yield *` doubles the promises per token.
			const reader = new CompletionStreamReader();
			const chunks = answer.body.iterator({destroyOnReturn: false}) as AsyncIterator<Buffer>;
			try {
				while (!reader.isEnded) {
					const {done, value} = await chunks.next() as IteratorResult<Buffer, undefined>;
					if (done) {
						// A truncated answer and a complete one both end with a closed connection; only `[DONE]` differs.
						yield Left({kind: 'broken', detail: 'the stream ended without [DONE]'});
						return;
					}

					for (const event of reader.feed(value)) {
						yield Right(event);
					}
				}
			} finally {
				void releaseStream(answer.body, chunks, reader.isEnded);
			}
		} catch (error) {
			const kind = failedBeforeAnyByte(error) ? 'not-sent' : 'broken';
			yield Left({kind, detail: describeError(error)});
		}
	}

	async loadReport(address: string): Promise<Either<EngineFailure, LoadReport>> {
		return getJson<LoadReport>(`http://${address}/load`);
	}

	async cacheEvents(address: string, after: number): Promise<Either<EngineFailure, CacheEvent[]>> {
		const answer = await getJson<{events: CacheEvent[]}>(`http://${address}/cache-events?after=${after}`);
		return answer.map(body => body.events);
	}

	async order(address: string, order: EngineOrder): Promise<Either<OrderFailure, void>> {
		try {
			const answer = await exchangeJson({
				method: 'POST',
				url: `http://${address}/orders`,
				body: order,
				timeoutMilliseconds: controlTimeoutMilliseconds,
			});
			if (answer.status === 409) {
				return Left({kind: 'stale', seen: (answer.body as {seen: number}).seen});
			}

			return answer.status === 202 ? Right(undefined) : Left({kind: 'unavailable', detail: `status ${answer.status}`});
		} catch (error) {
			return Left({kind: 'unavailable', detail: describeError(error)});
		}
	}

	async exportBlock(address: string, blockKey: string): Promise<Either<EngineFailure, Buffer | undefined>> {
		try {
			const answer = await connectionPool.request({
				origin: `http://${address}`, path: `/kv/${blockKey}`, method: 'GET', signal: AbortSignal.timeout(controlTimeoutMilliseconds),
			});
			// The seal of a saved block is computed from these bytes, so no later check can detect that some are missing.
			const content = await readWholeBody('GET', answer);
			return Right(answer.statusCode === 200 ? content : undefined);
		} catch (error) {
			return Left({kind: 'broken', detail: describeError(error)});
		}
	}

	async importBlock(address: string, {pieceKey, weightVersion}: {pieceKey: string; weightVersion: string}, content: Buffer): Promise<Either<EngineFailure, void>> {
		try {
			const answer = await connectionPool.request({
				origin: `http://${address}`, path: `/kv/${pieceKey}`, method: 'PUT', headers: {'x-weight-version': weightVersion}, body: content, signal: AbortSignal.timeout(controlTimeoutMilliseconds),
			});
			const text = await answer.body.text();
			if (answer.statusCode === 409) {
				return Left({kind: 'version-swapped', weightVersion: String(answer.headers['x-weight-version'] ?? '')});
			}

			return answer.statusCode === 204 ? Right(undefined) : Left({kind: 'refused', status: answer.statusCode, detail: text});
		} catch (error) {
			return Left({kind: 'broken', detail: describeError(error)});
		}
	}
}

async function getJson<Value>(url: string): Promise<Either<EngineFailure, Value>> {
	try {
		const answer = await exchangeJson({method: 'GET', url, timeoutMilliseconds: controlTimeoutMilliseconds});
		return answer.status === 200
			? Right(answer.body as Value)
			: Left({kind: 'refused', status: answer.status, detail: `status ${answer.status}`});
	} catch (error) {
		return Left({kind: 'broken', detail: describeError(error)});
	}
}

function headersOf(call: EngineCall): Record<string, string> {
	return {
		'content-type': 'application/json',
		'x-request-id': call.requestId,
		'x-attempt': String(call.attempt),
		'savorygauge-cache-salt': call.cacheSalt,
		'x-priority': call.priority,
		'x-weight-version': call.weightVersion,
		'x-resume-after': String(call.tokensPassedOn),
	};
}

/** `wallMilliseconds` is the present time of day, from which a date in `Retry-After` is counted. */
function classifyRejection(status: number, headers: IncomingHttpHeaders, wallMilliseconds: number): EngineFailure {
	if (status === 409) {
		return {kind: 'version-swapped', weightVersion: String(headers['x-weight-version'] ?? '')};
	}

	const retryAfterMilliseconds = parseRetryAfter(headers['retry-after'], wallMilliseconds);
	return {
		kind: 'refused', status, detail: '', ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
	};
}

/**
 * Releases the connection of a stream. After `[DONE]` only the end of the HTTP body is missing, so the body is drained and the
 * connection reused. Before `[DONE]` the connection is closed, which cancels the request at the engine.
 */
async function releaseStream(body: Dispatcher.ResponseData['body'], chunks: AsyncIterator<Buffer>, isEnded: boolean): Promise<void> {
	if (!isEnded) {
		body.destroy();
		return;
	}

	await chunks.return?.();
	await discardBody(body);
}
