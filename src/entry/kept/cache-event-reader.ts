/**
 * Reads engines' cache events into this instance's beliefs of who keeps which prefix: all engines in turn, and those that
 * a prompt is about to rely on at once. Events that come late or not at all make a belief wrong; the answers correct it.
 */
import {blockCharacters, charactersPerToken} from '../../cache/block-keys.js';
import {type CachedPrefixes} from '../../decision/cache/cached-prefixes.js';
import {type EndpointView} from '../../decision/routing/routing-policy.js';
import {type EntryContext} from '../entry-context.js';

/** Tokens of one piece, as keys are made. */
export const pieceTokens = blockCharacters / charactersPerToken;
/** Events read so recently are not read again for the next prompt, which bounds what hot prefixes cost an engine. */
const freshMilliseconds = 100;
/** A prompt waits no longer than this for an engine's events, and then relies on what was believed before. */
const confirmMilliseconds = 100;

/** What the reader knows of one engine's answers. */
type Reading = {
	address: string;
	askedAt: number;
	answeredAt: number;
	/** The last question failed; nobody waits for this engine until one is answered. */
	hasFailed: boolean;
	underWay: Promise<void> | undefined;
};

export class CacheEventReader {
	readonly #context: EntryContext;
	readonly #prefixes: CachedPrefixes;
	readonly #readings = new Map<string, Reading>();

	constructor(context: EntryContext, prefixes: CachedPrefixes) {
		this.#context = context;
		this.#prefixes = prefixes;
	}

	/** Reads the events of all engines that have reported, and forgets engines that are gone. */
	async readAll(): Promise<void> {
		const engines = this.#context.endpoints.engines().filter(({heardAt}) => heardAt > 0);
		const names = new Set(engines.map(({name}) => name));
		for (const name of [...this.#readings.keys()].filter(known => !names.has(known))) {
			this.#readings.delete(name);
			this.#prefixes.removeHolder(name);
		}

		await Promise.all(engines.map(async engine => this.#read(engine)));
	}

	/**
	 * Reads the events of those engines that are believed to keep leading pieces of a prompt.
	 *
	 * Between two readings of all engines other prompts evict what is believed kept. A prompt that returned within that
	 * time was sent to such an engine and computed again while its pieces lay in a store: one to three of eight prompts
	 * in a run over real processes. The events on record when the prompt returns are the engine's own word of what it has
	 * left.
	 *
	 * @param pieceKeys - The prompt's pieces, first one first.
	 */
	async confirm(pieceKeys: readonly string[]): Promise<void> {
		const {clock, endpoints} = this.#context;
		const believed = this.#prefixes.leadingBlocks(pieceKeys);
		const now = clock.now();
		const toAsk = endpoints.engines().filter(({name}) => believed.has(name) && this.#isWorthAsking(name, now));
		if (toAsk.length === 0) {
			return;
		}

		const answered = new AbortController();
		await Promise.race([
			Promise.all(toAsk.map(async engine => this.#read(engine))),
			clock.sleep(confirmMilliseconds, answered.signal),
		]);
		answered.abort();
	}

	/** An engine that let a prompt wait in vain is not waited for again, so that prompts do not wait for it in turn. */
	#isWorthAsking(name: string, now: number): boolean {
		const reading = this.#readings.get(name);
		if (reading === undefined) {
			return true;
		}

		const isSilent = reading.underWay !== undefined && now - reading.askedAt >= confirmMilliseconds;
		return !isSilent && !reading.hasFailed && now - reading.answeredAt >= freshMilliseconds;
	}

	/** One question at a time goes to an engine; whoever asks meanwhile gets the same answer. */
	async #read(engine: EndpointView): Promise<void> {
		const reading = this.#readingOf(engine);
		reading.underWay ??= this.#ask(engine, reading);
		await reading.underWay;
	}

	async #ask({name, address}: EndpointView, reading: Reading): Promise<void> {
		const {clock, engine} = this.#context;
		reading.askedAt = clock.now();
		const events = await engine.cacheEvents(address, this.#prefixes.lastSequenceOf(name)).finally(() => {
			reading.underWay = undefined;
		});
		// The answer of an engine that was replaced meanwhile counts by the old one's sequence: taken, it would hide the
		// events of the new one, which counts from the start.
		if (this.#readings.get(name) !== reading) {
			return;
		}

		reading.hasFailed = events.isLeft();
		events.ifRight(found => {
			reading.answeredAt = clock.now();
			this.#prefixes.applyEvents(name, found);
		});
	}

	/** An engine that came back at another address starts empty, and counts its events from the start. */
	#readingOf({name, address, load}: EndpointView): Reading {
		let reading = this.#readings.get(name);
		if (reading?.address !== address) {
			if (reading !== undefined) {
				this.#prefixes.removeHolder(name);
			}

			reading = {
				address, askedAt: 0, answeredAt: 0, hasFailed: false, underWay: undefined,
			};
			this.#readings.set(name, reading);
		}

		if (load !== undefined && load.kvTokensCapacity > 0) {
			this.#prefixes.setCapacity(name, Math.max(1, Math.floor(load.kvTokensCapacity / pieceTokens)));
		}

		return reading;
	}
}
