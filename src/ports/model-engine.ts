/**
 * The port to a model engine. Completions follow the published completions protocol with server-sent events; load, cache
 * events, orders, and export and import of KV blocks have paths of their own. Every token of a stream has an index, so that
 * another engine can continue an interrupted stream at exactly the next token.
 */
import {type Buffer} from 'node:buffer';
import {type Either} from 'purify-ts/Either';
import {type JsonValue, type PriorityClass} from '../shared/types.js';

/** One attempt at a completion. */
export type EngineCall = {
	requestId: string;
	attempt: number;
	/** `chat` for messages, `text` for a prompt. */
	shape: 'chat' | 'text';
	/** The caller's body as forwarded to the engine. */
	body: Record<string, JsonValue>;
	/** Separates the prefix cache of one workspace from all others. */
	cacheSalt: string;
	priority: PriorityClass;
	/** The weight version for which the call was routed. */
	weightVersion: string;
	/** How many tokens of the answer were already passed on; the stream continues after them. */
	tokensPassedOn: number;
};

/** One event of a stream. */
export type EngineEvent
	= | {kind: 'started'; weightVersion: string}
		| {kind: 'tokens'; firstIndex: number; count: number; text: string}
		| {kind: 'finished'; finishReason: string; promptTokens: number; cachedTokens: number; completionTokens: number};

/**
 * Why an attempt failed.
 *
 * - `not-sent`: no byte was sent; nothing ran.
 * - `refused`: the engine's own answer; nothing ran.
 * - `version-swapped`: the engine now serves another weight version.
 * - `broken`: the call or stream failed at any later point.
 */
export type EngineFailure
	= | {kind: 'not-sent'; detail: string}
		| {kind: 'refused'; status: number; detail: string; retryAfterMilliseconds?: number}
		| {kind: 'version-swapped'; weightVersion: string}
		| {kind: 'broken'; detail: string};

/** An engine's report of its load. It lags: `measuredAt` is the time of the measurement on the engine's clock. */
export type LoadReport = {
	/** The model that it serves now. */
	model: string;
	weightVersion: string;
	state: 'live' | 'loading' | 'leaving';
	runningRequests: number;
	waitingRequests: number;
	/** Prompt tokens that are accepted and not prefilled so far. */
	waitingPrefillTokens: number;
	prefillTokensPerSecond: number;
	decodeTokensPerSecond: number;
	/** The maximum number of requests in one batch. */
	batchLimit: number;
	kvTokensUsed: number;
	kvTokensCapacity: number;
	measuredAt: number;
};

/** A change in an engine's prefix cache. Sequence numbers are consecutive per engine; a gap means that events were lost. */
export type CacheEvent = {
	sequence: number;
	kind: 'stored' | 'evicted';
	pieceKey: string;
};

/** An order to an engine. */
export type EngineOrder = {
	orderId: string;
	fencingNumber: number;
	action:
		| {kind: 'load-version'; model: string; weightVersion: string}
		| {kind: 'load-adapter'; adapter: string; weightVersion: string}
		| {kind: 'change-role'; role: string}
		| {kind: 'leave'};
};

/** Why an order failed. `stale`: the engine has seen a higher fencing number. */
export type OrderFailure
	= | {kind: 'stale'; seen: number}
		| {kind: 'unavailable'; detail: string};

/** The model engine's interface. Addresses are `IP:port`. */
export interface ModelEngine {
	/**
	 * Starts an attempt. The iterator does not throw: it ends with a `Left` if the stream fails, and ends soon after the signal
	 * aborts.
	 */
	complete(address: string, call: EngineCall, signal: AbortSignal): AsyncIterable<Either<EngineFailure, EngineEvent>>;
	loadReport(address: string): Promise<Either<EngineFailure, LoadReport>>;
	cacheEvents(address: string, after: number): Promise<Either<EngineFailure, CacheEvent[]>>;
	order(address: string, order: EngineOrder): Promise<Either<OrderFailure, void>>;
	exportBlock(address: string, blockKey: string): Promise<Either<EngineFailure, Buffer | undefined>>;
	/** Sends a block to an engine, which refuses it if it does not serve the weight version that computed the block. */
	importBlock(address: string, block: {pieceKey: string; weightVersion: string}, content: Buffer): Promise<Either<EngineFailure, void>>;
}
