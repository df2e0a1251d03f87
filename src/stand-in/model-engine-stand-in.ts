/**
 * Stands in for a model engine. It runs any number of requests at the same time, prefills at a fixed speed, caches prompt
 * prefixes in a small LRU cache, and generates tokens that depend on the prompt. Tests can make it cut a stream, hang,
 * reject requests, change its weights, leave, ignore fencing numbers and lose cache events.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	getQuery, getRouterParam, H3, HTTPError, readBody,
} from 'h3';
import {charactersPerToken, blockCharacters, promptBlockKeysOf} from '../cache/block-keys.js';
import {type CacheEvent, type EngineOrder, type LoadReport} from '../ports/model-engine.js';
import {digestOf} from '../shared/digest-of.js';
import {type NodeExchange, nodeRoute} from '../shared/node-route.js';
import {promptTextOf} from '../shared/prompt-text-of.js';
import {type JsonValue} from '../shared/types.js';
import {engineTokenAt} from './engine-token-at.js';
import {readJson} from './read-json.js';
import {noFaults, type StandInDefinition} from './stand-in-server.js';

/** Tokens of one engine block. The engine reuses prefixes by these; its events and exports name whole prompt blocks. */
const engineBlockTokens = 512;
const exportedBlockBytes = 16_384;
const engineBlocksPerPromptBlock = blockCharacters / charactersPerToken / engineBlockTokens;
const defaultCompletionTokens = 16;
const maxRetainedEvents = 1000;

/** How a stand-in engine behaves without faults. */
export type EngineBehaviour = {
	model: string;
	weightVersion: string;
	prefillTokensPerSecond: number;
	millisecondsPerToken: number;
	cachePieces: number;
	batchLimit: number;
};

type Completion = {
	shape: 'chat' | 'text';
	prompt: string;
	salt: string;
	tokens: number;
	resumeAfter: number;
	weightVersion: string;
	id: string;
};

type ChunkChoice = {text: string; finishReason: string | null};

export class ModelEngineStandIn implements StandInDefinition {
	readonly app = new H3();
	readonly faults = {
		...noFaults, leaving: false, cutAfterTokens: 0, cutCleanly: false, stallAfterTokens: 0, refuseSeconds: 0, ignoreFencing: false, loseCacheEvents: 0, loadLagMilliseconds: 0,
	};

	readonly #behaviour: EngineBehaviour;
	/** Cached engine blocks, least recently used first. The last one of a prompt block has that block's key as its value. */
	readonly #cached = new Map<string, string | undefined>();
	readonly #cacheEvents: CacheEvent[] = [];
	readonly #engineBlocksOf = new Map<string, string[]>();
	#cacheSequence = 0;
	#running = 0;
	#waitingPrefillTokens = 0;
	#completions = 0;
	#cancelled = 0;
	#fencingNumber = 0;
	#lastReport: LoadReport | undefined;

	constructor(behaviour: EngineBehaviour) {
		this.#behaviour = {...behaviour};
		this.app.post('/v1/chat/completions', nodeRoute(async exchange => this.#complete('chat', exchange)));
		this.app.post('/v1/completions', nodeRoute(async exchange => this.#complete('text', exchange)));
		this.app.get('/kv/:key', event => this.#export(getRouterParam(event, 'key') ?? ''));
		this.app.put('/kv/:key', async event => {
			const {weightVersion} = this.#behaviour;
			if (event.req.headers.get('x-weight-version') !== weightVersion) {
				return new Response(null, {status: 409, headers: {'x-weight-version': weightVersion}});
			}

			this.#import(getRouterParam(event, 'key') ?? '', Buffer.from(await event.req.arrayBuffer()));
			event.res.status = 204;
			return '';
		});
		this.app.get('/load', () => this.#loadReport(Date.now()));
		this.app.get('/cache-events', event => {
			const after = Number(getQuery(event).after ?? 0);
			return {events: this.#cacheEvents.filter(cacheEvent => cacheEvent.sequence > after)};
		});
		this.app.post('/orders', async event => {
			this.#followOrder((await readBody<EngineOrder>(event))!);
			event.res.status = 202;
			return {};
		});
	}

	counts(): Record<string, JsonValue> {
		return {
			completions: this.#completions, running: this.#running, cancelled: this.#cancelled, cachedPieces: this.#cached.size, weightVersion: this.#behaviour.weightVersion,
		};
	}

	async #complete(shape: 'chat' | 'text', {request, response}: NodeExchange): Promise<void> {
		const {headers} = request;
		const body = await readJson(request);
		const {weightVersion} = this.#behaviour;
		const wantedVersion = String(headers['x-weight-version'] ?? '');
		if (wantedVersion !== '' && wantedVersion !== weightVersion) {
			response.writeHead(409, {'x-weight-version': weightVersion}).end();
			return;
		}

		if (this.faults.refuseSeconds > 0) {
			response.writeHead(429, {'retry-after': String(this.faults.refuseSeconds)}).end();
			return;
		}

		const completion: Completion = {
			shape,
			prompt: promptTextOf(body),
			salt: String(headers['savorygauge-cache-salt'] ?? ''),
			tokens: Number(body.max_tokens ?? body.max_completion_tokens ?? defaultCompletionTokens),
			resumeAfter: Number(headers['x-resume-after'] ?? 0),
			weightVersion,
			id: String(headers['x-request-id'] ?? 'stand-in'),
		};
		this.#completions++;
		this.#running++;
		response.once('close', () => {
			this.#running--;
			this.#cancelled += response.writableFinished ? 0 : 1;
		});
		await this.#stream(completion, response);
	}

	async #stream(completion: Completion, response: ServerResponse): Promise<void> {
		const {promptTokens, cachedTokens} = await this.#prefill(completion);
		response.writeHead(200, {'content-type': 'text/event-stream', 'x-weight-version': completion.weightVersion});
		for (let index = completion.resumeAfter; index < completion.tokens; index++) {
			if (response.destroyed) {
				return;
			}

			if (this.faults.cutAfterTokens > 0 && index >= this.faults.cutAfterTokens) {
				// A proxy in between can turn a cut into a regular end of the HTTP body, without the stream's end mark.
				if (this.faults.cutCleanly) {
					response.end();
				} else {
					response.destroy();
				}

				return;
			}

			if (this.faults.stallAfterTokens > 0 && index >= this.faults.stallAfterTokens) {
				await once(response, 'close');
				return;
			}

			const choice = {text: engineTokenAt(completion.prompt, index), finishReason: null};
			response.write(chunkOf(completion, choice, {token_index: index, token_count: 1}));
			if (this.#behaviour.millisecondsPerToken > 0) {
				await delay(this.#behaviour.millisecondsPerToken);
			}
		}

		const usage = {
			prompt_tokens: promptTokens, completion_tokens: completion.tokens, total_tokens: promptTokens + completion.tokens, prompt_tokens_details: {cached_tokens: cachedTokens},
		};
		response.write(chunkOf(completion, {text: '', finishReason: 'length'}, {}));
		response.write(`data: ${JSON.stringify({id: completion.id, choices: [], usage})}\n\n`);
		response.end('data: [DONE]\n\n');
	}

	async #prefill(completion: Completion): Promise<{promptTokens: number; cachedTokens: number}> {
		const promptTokens = Math.ceil(completion.prompt.length / charactersPerToken);
		const keys = engineBlockKeysOf(completion);
		const missing = keys.findIndex(key => !this.#cached.has(key));
		const cachedTokens = (missing === -1 ? keys.length : missing) * engineBlockTokens;
		const work = promptTokens - cachedTokens;
		this.#waitingPrefillTokens += work;
		await delay(1000 * work / this.#behaviour.prefillTokensPerSecond);
		this.#waitingPrefillTokens -= work;
		const {salt, weightVersion, prompt} = completion;
		const promptBlocks = promptBlockKeysOf({salt, model: this.#behaviour.model, weightVersion}, prompt);
		for (const [index, promptBlock] of promptBlocks.entries()) {
			this.#engineBlocksOf.set(promptBlock, keys.slice(index * engineBlocksPerPromptBlock, (index + 1) * engineBlocksPerPromptBlock));
		}

		// The last block is marked as used first, so that a prefix is evicted from its end, as in engines that store prefixes
		// in a tree. If the first block were evicted first, the remaining blocks could not be reused.
		for (const [index, key] of [...keys.entries()].toReversed()) {
			this.#addToCache(key, (index + 1) % engineBlocksPerPromptBlock === 0 ? promptBlocks[Math.floor(index / engineBlocksPerPromptBlock)] : undefined);
		}

		return {promptTokens, cachedTokens};
	}

	/** The content lists the engine blocks of the prompt block, and is padded so that its transfer takes a realistic time. */
	#export(pieceKey: string): Response {
		const blocks = this.#engineBlocksOf.get(pieceKey);
		if (!blocks?.every(block => this.#cached.has(block))) {
			throw new HTTPError({status: 404, message: 'the block is not in the cache'});
		}

		return new Response(JSON.stringify({blocks}).padEnd(exportedBlockBytes, ' '));
	}

	#import(pieceKey: string, content: Buffer): void {
		const {blocks} = JSON.parse(content.toString('utf8')) as {blocks: string[]};
		this.#engineBlocksOf.set(pieceKey, blocks);
		for (const [index, block] of [...blocks.entries()].toReversed()) {
			this.#addToCache(block, index === blocks.length - 1 ? pieceKey : undefined);
		}
	}

	#addToCache(key: string, pieceKey: string | undefined): void {
		if (!this.#cached.delete(key)) {
			this.#publish('stored', pieceKey);
		}

		this.#cached.set(key, pieceKey);
		if (this.#cached.size > this.#behaviour.cachePieces) {
			const [oldest, oldestPromptBlock] = this.#cached.entries().next().value!;
			this.#cached.delete(oldest);
			this.#engineBlocksOf.delete(oldestPromptBlock ?? '');
			this.#publish('evicted', oldestPromptBlock);
		}
	}

	#publish(kind: CacheEvent['kind'], pieceKey: string | undefined): void {
		if (pieceKey === undefined) {
			return;
		}

		this.#cacheSequence++;
		if (this.faults.loseCacheEvents > 0) {
			this.faults.loseCacheEvents--;
			return;
		}

		this.#cacheEvents.push({sequence: this.#cacheSequence, kind, pieceKey});
		this.#cacheEvents.splice(0, this.#cacheEvents.length - maxRetainedEvents);
	}

	#loadReport(now: number): LoadReport {
		if (this.#lastReport && now - this.#lastReport.measuredAt < this.faults.loadLagMilliseconds) {
			return this.#lastReport;
		}

		this.#lastReport = {
			model: this.#behaviour.model,
			weightVersion: this.#behaviour.weightVersion,
			state: this.faults.leaving ? 'leaving' : 'live',
			runningRequests: this.#running,
			waitingRequests: Math.max(0, this.#running - this.#behaviour.batchLimit),
			waitingPrefillTokens: Math.max(0, this.#waitingPrefillTokens),
			prefillTokensPerSecond: this.#behaviour.prefillTokensPerSecond,
			decodeTokensPerSecond: 1000 / Math.max(1, this.#behaviour.millisecondsPerToken),
			batchLimit: this.#behaviour.batchLimit,
			kvTokensUsed: this.#cached.size * engineBlockTokens,
			kvTokensCapacity: this.#behaviour.cachePieces * engineBlockTokens,
			measuredAt: now,
		};
		return this.#lastReport;
	}

	#followOrder(order: EngineOrder): void {
		if (order.fencingNumber < this.#fencingNumber && !this.faults.ignoreFencing) {
			throw new HTTPError({status: 409, body: {seen: this.#fencingNumber}});
		}

		this.#fencingNumber = Math.max(this.#fencingNumber, order.fencingNumber);
		if (order.action.kind === 'load-version') {
			this.#behaviour.model = order.action.model;
			this.#behaviour.weightVersion = order.action.weightVersion;
			this.#cached.clear();
		} else if (order.action.kind === 'leave') {
			this.faults.leaving = true;
		}
	}
}

function engineBlockKeysOf(completion: Completion): string[] {
	const engineBlockCharacters = engineBlockTokens * charactersPerToken;
	const blocks = Math.floor(completion.prompt.length / engineBlockCharacters);
	return Array.from({length: blocks}, (_, index) =>
		digestOf(`${completion.salt}|${completion.weightVersion}|${completion.prompt.slice(0, (index + 1) * engineBlockCharacters)}`));
}

function chunkOf(completion: Completion, choice: ChunkChoice, extra: Record<string, JsonValue>): string {
	const {id, shape} = completion;
	const content = shape === 'chat' ? {delta: choice.text === '' ? {} : {content: choice.text}} : {text: choice.text};
	const object = shape === 'chat' ? 'chat.completion.chunk' : 'text_completion';
	return `data: ${JSON.stringify({
		id, object, choices: [{index: 0, ...content, finish_reason: choice.finishReason}], ...extra,
	})}\n\n`;
}
