/**
 * A model engine over HTTP. Completions use the published completions protocol: `POST /v1/chat/completions` or
 * `/v1/completions` with `stream: true`, answered by server-sent events and closed by `[DONE]`. Beside it the engine has
 * `GET /load`, `GET /cache-events`, `POST /orders` and `GET`/`PUT /kv/{pieceKey}`.
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {createParser} from 'eventsource-parser';
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type CacheEvent, type EngineCall, type EngineEvent, type EngineFailure, type EngineOrder, type LoadReport,
	type ModelEngine, type OrderFailure,
} from '../ports/model-engine.js';
import {type JsonValue} from '../shared/types.js';
import {
	connectionPool, describeError, exchangeJson, failedBeforeAnyByte,
} from './http-client.js';

const controlTimeoutMilliseconds = 1000;
const endOfStream = '[DONE]';

type Chunk = {
	choices: Array<{delta?: {content?: string}; text?: string; finish_reason?: string | null}>;
	token_index?: number;
	token_count?: number;
	usage?: {prompt_tokens: number; completion_tokens: number; prompt_tokens_details?: {cached_tokens?: number}} | null;
};

export class HttpModelEngine implements ModelEngine {
	async * complete(address: string, call: EngineCall, signal: AbortSignal): AsyncIterable<Either<EngineFailure, EngineEvent>> {
		try {
			const answer = await connectionPool.request({
				origin: `http://${address}`,
				path: call.shape === 'chat' ? '/v1/chat/completions' : '/v1/completions',
				method: 'POST',
				headers: headersOf(call),
				body: JSON.stringify({...call.body, stream: true, stream_options: {include_usage: true}}),
				headersTimeout: 0,
				bodyTimeout: 0,
				signal,
			});
			if (answer.statusCode !== 200) {
				yield Left(judgeRefusal(answer.statusCode, answer.headers, await answer.body.text()));
				return;
			}

			yield Right({kind: 'started', weightVersion: String(answer.headers['x-weight-version'] ?? '')});
			yield * readStream(answer.body);
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

	async exportPiece(address: string, pieceKey: string): Promise<Either<EngineFailure, Buffer | undefined>> {
		try {
			const answer = await connectionPool.request({origin: `http://${address}`, path: `/kv/${pieceKey}`, method: 'GET'});
			const content = Buffer.from(await answer.body.arrayBuffer());
			return Right(answer.statusCode === 200 ? content : undefined);
		} catch (error) {
			return Left({kind: 'broken', detail: describeError(error)});
		}
	}

	async importPiece(address: string, pieceKey: string, content: Buffer): Promise<Either<EngineFailure, void>> {
		try {
			const answer = await connectionPool.request({
				origin: `http://${address}`, path: `/kv/${pieceKey}`, method: 'PUT', body: content,
			});
			const text = await answer.body.text();
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
		'x-cache-salt': call.cacheSalt,
		'x-priority': call.priority,
		'x-weight-version': call.weightVersion,
		'x-resume-after': String(call.tokensPassedOn),
	};
}

function judgeRefusal(status: number, headers: IncomingHttpHeaders, detail: string): EngineFailure {
	if (status === 409) {
		return {kind: 'version-swapped', weightVersion: String(headers['x-weight-version'] ?? '')};
	}

	const retryAfter = headers['retry-after'];
	return retryAfter === undefined
		? {kind: 'refused', status, detail}
		: {
			kind: 'refused', status, detail, retryAfterMilliseconds: Number(retryAfter) * 1000,
		};
}

/**
 * Turns server-sent events into engine events. The end of the connection without `[DONE]` is a broken stream: the
 * symptom would be a caller who takes half an answer for a whole one, since both end with a closed connection.
 */
async function * readStream(body: AsyncIterable<Uint8Array>): AsyncIterable<Either<EngineFailure, EngineEvent>> {
	const waiting: string[] = [];
	const parser = createParser({
		onEvent(event) {
			waiting.push(event.data);
		},
	});
	const decoder = new TextDecoder();
	let finishReason = '';
	let usage: Chunk['usage'];
	for await (const bytes of body) {
		parser.feed(decoder.decode(bytes, {stream: true}));
		for (const data of waiting.splice(0)) {
			if (data === endOfStream) {
				yield Right(finishedEvent(finishReason, usage));
				return;
			}

			const chunk = JSON.parse(data) as Chunk;
			const choice = chunk.choices[0];
			finishReason = choice?.finish_reason ?? finishReason;
			const text = choice?.delta?.content ?? choice?.text ?? '';
			if (text !== '') {
				yield Right({
					kind: 'tokens', firstIndex: chunk.token_index ?? 0, count: chunk.token_count ?? 1, text,
				});
			}

			usage = chunk.usage ?? usage;
		}
	}

	yield Left({kind: 'broken', detail: 'the stream ended without its end mark'});
}

function finishedEvent(finishReason: string, usage: Chunk['usage']): EngineEvent {
	return {
		kind: 'finished',
		finishReason,
		promptTokens: usage?.prompt_tokens ?? 0,
		cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
		completionTokens: usage?.completion_tokens ?? 0,
	};
}
