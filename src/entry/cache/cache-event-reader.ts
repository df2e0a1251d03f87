/**
 * Reads the cache events of engines and records which prefixes each engine has cached. All engines are read at intervals,
 * and when a prompt arrives, the engines that it is about to rely on. Late or missing events make the record wrong; the
 * routing policy corrects it by the outcome of prompts.
 */
import {blockCharacters, charactersPerToken} from '../../cache/block-keys.js';
import {type CachedPrefixes} from '../../decision/cache/cached-prefixes.js';
import {type EndpointView} from '../../decision/routing/routing-policy.js';
import {type EntryContext} from '../entry-context.js';

/** Tokens of one cache block, as block keys are calculated. */
export const blockTokens = blockCharacters / charactersPerToken;
/** Events read this recently are not read again for the next prompt. This bounds the reads that popular prefixes cause. */
const minReadIntervalMilliseconds = 100;
/** The longest wait of a prompt for an engine's events. After it, the prompt relies on the events read before. */
const confirmTimeoutMilliseconds = 100;

/** State of the reads from one engine. */
type EngineReadState = {
	address: string;
	queriedAt: number;
	answeredAt: number;
	/** True if the last query failed. Prompts do not wait for this engine until a query succeeds. */
	hasFailed: boolean;
	inFlight: Promise<void> | undefined;
};

export class CacheEventReader {
	readonly #context: EntryContext;
	readonly #prefixes: CachedPrefixes;
	readonly #readStates = new Map<string, EngineReadState>();

	constructor(context: EntryContext, prefixes: CachedPrefixes) {
		this.#context = context;
		this.#prefixes = prefixes;
	}

	/** Reads the events of all engines that have reported, and removes engines that are no longer listed. */
	async readAll(): Promise<void> {
		const engines = this.#context.endpoints.engines().filter(({heardAt}) => heardAt > 0);
		const names = new Set(engines.map(({name}) => name));
		for (const name of [...this.#readStates.keys()].filter(known => !names.has(known))) {
			this.#readStates.delete(name);
			this.#prefixes.removeHolder(name);
		}

		await Promise.all(engines.map(async engine => this.#read(engine)));
	}

	/**
	 * Reads the events of those engines that are recorded as having leading blocks of a prompt cached.
	 *
	 * Between two reads of all engines, other prompts evict blocks that are still recorded as cached. A prompt that returned
	 * in that time was sent to such an engine and prefilled again although its blocks were in a store: one to three of eight
	 * prompts in a run with real processes. Reading the engine's events when the prompt returns shows what it still has.
	 *
	 * @param pieceKeys - Keys of the prompt's blocks, in the order of the prompt.
	 */
	async confirm(pieceKeys: readonly string[]): Promise<void> {
		const {clock, endpoints} = this.#context;
		const recorded = this.#prefixes.leadingBlocks(pieceKeys);
		const now = clock.now();
		const toQuery = endpoints.engines().filter(({name}) => recorded.has(name) && this.#shouldQuery(name, now));
		if (toQuery.length === 0) {
			return;
		}

		const answered = new AbortController();
		await Promise.race([
			Promise.all(toQuery.map(async engine => this.#read(engine))),
			clock.sleep(confirmTimeoutMilliseconds, answered.signal),
		]);
		answered.abort();
	}

	/** An engine that did not answer in time for one prompt is not queried for the next, so that only one prompt waits. */
	#shouldQuery(name: string, now: number): boolean {
		const readState = this.#readStates.get(name);
		if (readState === undefined) {
			return true;
		}

		const isUnresponsive = readState.inFlight !== undefined && now - readState.queriedAt >= confirmTimeoutMilliseconds;
		return !isUnresponsive && !readState.hasFailed && now - readState.answeredAt >= minReadIntervalMilliseconds;
	}

	/** Sends at most one query at a time to an engine; concurrent callers share its answer. */
	async #read(engine: EndpointView): Promise<void> {
		const readState = this.#readStateOf(engine);
		readState.inFlight ??= this.#query(engine, readState);
		await readState.inFlight;
	}

	async #query({name, address}: EndpointView, readState: EngineReadState): Promise<void> {
		const {clock, engine} = this.#context;
		readState.queriedAt = clock.now();
		const events = await engine.cacheEvents(address, this.#prefixes.lastSequenceOf(name)).finally(() => {
			readState.inFlight = undefined;
		});
		// If the engine was replaced during the query, the answer has the sequence numbers of the old engine. Applied, it would
		// hide the events of the new engine, which numbers them from the start.
		if (this.#readStates.get(name) !== readState) {
			return;
		}

		readState.hasFailed = events.isLeft();
		events.ifRight(found => {
			readState.answeredAt = clock.now();
			this.#prefixes.applyEvents(name, found);
		});
	}

	/** An engine that returned at another address has an empty cache, and numbers its events from the start. */
	#readStateOf({name, address, load}: EndpointView): EngineReadState {
		let readState = this.#readStates.get(name);
		if (readState?.address !== address) {
			if (readState !== undefined) {
				this.#prefixes.removeHolder(name);
			}

			readState = {
				address, queriedAt: 0, answeredAt: 0, hasFailed: false, inFlight: undefined,
			};
			this.#readStates.set(name, readState);
		}

		if (load !== undefined && load.kvTokensCapacity > 0) {
			this.#prefixes.setCapacity(name, Math.max(1, Math.floor(load.kvTokensCapacity / blockTokens)));
		}

		return readState;
	}
}
