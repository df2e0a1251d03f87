/**
 * Which stores and engines keep which parts, as the hub gathers it, and what it tells of the parts of one prompt.
 *
 * With many engines, telling each instance of every part that any engine reads or drops takes more bytes than the links of
 * the instances have. An answer to a question is bounded: by the parts of one prompt, the engines in question, and a few
 * more that keep its deepest parts.
 */
import {type PartsChange} from '../../protocol/parts/store-ledger.js';
import {
	engineHolder, type KeptParts, type PartsAnswer, type PlaceQuestion,
} from './hub-messages.js';

/** How many engines are named beside those in question, for what they keep. */
const mostKeepers = 8;
/** A part that more engines keep than this is found at those in question as well. */
const widelyKept = 24;

/** What the directory has to know of holders. */
export type Holders = {
	/** Stores that may be told of. */
	stores: readonly string[];
	/** Whether the parts of an engine are up to date. */
	isKnown: (engine: string) => boolean;
	/** Requests under way at an engine. */
	requestsAt: (engine: string) => number;
};

const enginePrefix = engineHolder('');

export class PartDirectory {
	readonly #holders = new Map<string, Map<string, number>>();

	/** Takes what a holder has got and lost. */
	take(holder: string, {added, removed}: PartsChange): void {
		for (const key of removed) {
			const holders = this.#holders.get(key);
			if (holders?.delete(holder) && holders.size === 0) {
				this.#holders.delete(key);
			}
		}

		for (const [key, tokens] of added) {
			const holders = this.#holders.get(key) ?? new Map<string, number>();
			this.#holders.set(key, holders);
			holders.set(holder, tokens);
		}
	}

	/** Answers a question about the parts of one prompt. */
	answer({endpoints, keys, partCount}: PlaceQuestion, {stores, isKnown, requestsAt}: Holders): PartsAnswer {
		if (keys.length === 0) {
			return {kept: [], engines: [], unknown: []};
		}

		const engines = [...new Set([...endpoints, ...this.#keepers(keys, partCount, requestsAt)])];
		const holders = [...stores, ...engines.map(engine => engineHolder(engine))];
		return {
			kept: holders.map((holder): [string, KeptParts] => [holder, this.#keptAt(holder, keys)]).filter(([, parts]) => parts.length > 0),
			engines,
			unknown: engines.filter(engine => !isKnown(engine)),
		};
	}

	#keptAt(holder: string, keys: readonly string[]): KeptParts {
		return keys.flatMap((key, index) => {
			const tokens = this.#holders.get(key)?.get(holder);
			return tokens === undefined ? [] : [[index, tokens] as [number, number]];
		});
	}

	/** Engines that keep the deepest parts, those with the fewest requests first. */
	#keepers(keys: readonly string[], partCount: number, requestsAt: (engine: string) => number): Set<string> {
		const keepers = new Set<string>();
		for (let depth = partCount - 1; depth >= 0 && keepers.size < mostKeepers; depth--) {
			const found = this.#enginesWith(keys.filter((_key, index) => index % partCount === depth))
				.map(engine => ({engine, requests: requestsAt(engine)}))
				.toSorted((one, other) => one.requests - other.requests);
			for (const {engine} of found.slice(0, mostKeepers - keepers.size)) {
				keepers.add(engine);
			}
		}

		return keepers;
	}

	#enginesWith(keys: readonly string[]): string[] {
		return keys
			.map(key => this.#holders.get(key))
			.filter(holders => holders !== undefined && holders.size <= widelyKept)
			.flatMap(holders => [...holders!.keys()])
			.filter(holder => holder.startsWith(enginePrefix))
			.map(holder => holder.slice(enginePrefix.length));
	}
}
