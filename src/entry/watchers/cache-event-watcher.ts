/**
 * Reads the engines' cache events again and again into this instance's beliefs of who keeps which prefix. Events that
 * come late or not at all make a belief wrong; the answers correct it.
 */
import {pieceCharacters, charactersPerToken} from '../../cache/piece-keys.js';
import {type KeptPrefixes} from '../../decision/kept/kept-prefixes.js';
import {type EndpointView} from '../../decision/routing/routing-policy.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';
import {repeatJittered} from './repeat-jittered.js';

const pollMilliseconds = 2000;
/** Tokens of one piece, as keys are made. */
export const pieceTokens = pieceCharacters / charactersPerToken;

export class CacheEventWatcher implements Child {
	readonly name = 'cache-event-watcher';
	readonly #context: EntryContext;
	readonly #prefixes: KeptPrefixes;
	readonly #random: () => number;
	#addresses: ReadonlyMap<string, string> = new Map();

	constructor(context: EntryContext, prefixes: KeptPrefixes, random: () => number) {
		this.#context = context;
		this.#prefixes = prefixes;
		this.#random = random;
	}

	async run(signal: AbortSignal): Promise<void> {
		const pace = {clock: this.#context.clock, milliseconds: pollMilliseconds, random: this.#random};
		await repeatJittered(pace, signal, async () => this.#askOnce());
	}

	async #askOnce(): Promise<void> {
		const {endpoints, engine} = this.#context;
		const engines = endpoints.engines().filter(({heardAt}) => heardAt > 0);
		this.#followChanges(engines);
		await Promise.all(engines.map(async ({name, address}) => {
			const events = await engine.cacheEvents(address, this.#prefixes.lastSequenceOf(name));
			events.ifRight(found => {
				this.#prefixes.takeEvents(name, found);
			});
		}));
	}

	/** An engine that went or came back at another address starts empty, and counts its events from the start. */
	#followChanges(engines: readonly EndpointView[]): void {
		const addresses = new Map(engines.map(({name, address}) => [name, address]));
		for (const [name, address] of this.#addresses) {
			if (addresses.get(name) !== address) {
				this.#prefixes.forgetHolder(name);
			}
		}

		for (const {name, load} of engines) {
			if (load !== undefined && load.kvTokensCapacity > 0) {
				this.#prefixes.setRoom(name, Math.max(1, Math.floor(load.kvTokensCapacity / pieceTokens)));
			}
		}

		this.#addresses = addresses;
	}
}
