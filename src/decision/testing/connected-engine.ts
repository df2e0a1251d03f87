/**
 * An engine in virtual time with a cache of prompt blocks. It prefills one prompt after the other, and closes connections
 * that are idle for too long.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type PromptBlock} from '../../shared/prompt-shape.js';
import {type EndpointLoad, noLoad} from '../placement/endpoint-load.js';
import {type PlacementRequest} from '../placement/placement.js';
import {promptWork} from '../placement/prompt-work.js';

/** A request at an engine, as instances know it from reports. */
export type VisibleRequest = {instance: number; rank: number; pendingTokens: number; heldTokens: number};

export type EngineOptions = {
	record: EndpointRecord;
	capacityTokens: number;
	tokensPerMillisecond: number;
	/** The timeout that its `Keep-Alive` header states. */
	statedMilliseconds: number;
	/** By what factor its work takes longer at a time. */
	paceAt: (now: number) => number;
};

export class ConnectedEngine {
	readonly options: EngineOptions;
	/** The requests that other instances have reported so far. */
	readonly visible = new Set<VisibleRequest>();
	/** The time for which it has prefilled, in milliseconds. */
	busyMilliseconds = 0;
	isGone = false;
	/** Connections to it, by all instances. */
	openConnections = 0;
	readonly #cache = new Map<string, {tokens: number; at: number}>();
	#cachedTokens = 0;
	#freeAt = 0;

	constructor(options: EngineOptions) {
		this.options = options;
	}

	/** Prefills what it has not cached; returns the tokens prefilled and when the prefill ends. */
	prefill({prompt}: PlacementRequest, extraMilliseconds: number, now: number): {readTokens: number; endsAt: number} {
		const {paceAt, tokensPerMillisecond} = this.options;
		const {blocks} = prompt!;
		const {readTokens} = promptWork(prompt!, {cachedTokens: index => this.#cache.get(blocks[index]!.id)?.tokens ?? 0, fetchMilliseconds: () => undefined});
		const startsAt = Math.max(now, this.#freeAt);
		const milliseconds = (paceAt(startsAt) * readTokens / tokensPerMillisecond) + extraMilliseconds;
		this.busyMilliseconds += milliseconds;
		this.#freeAt = startsAt + milliseconds;
		this.#addToCache(blocks, this.#freeAt);
		return {readTokens, endsAt: this.#freeAt};
	}

	/** Tokens of each block that it had cached at a time, by its cache events. */
	cachedTokensAt(blocks: readonly PromptBlock[], at: number): number[] {
		return blocks.map(({id}) => {
			const cached = this.#cache.get(id);
			return cached === undefined || cached.at > at ? 0 : cached.tokens;
		});
	}

	/** The load of all instances but one. */
	loadWithout(instance: number): EndpointLoad {
		const pendingPrefillTokens = [0, 0, 0];
		let requests = 0;
		let heldTokens = 0;
		for (const request of this.visible) {
			if (request.instance !== instance) {
				requests++;
				heldTokens += request.heldTokens;
				pendingPrefillTokens[request.rank]! += request.pendingTokens;
			}
		}

		return {
			...noLoad, requests, heldTokens, pendingPrefillTokens, lastByteAgoMilliseconds: 0,
		};
	}

	#addToCache(blocks: readonly PromptBlock[], at: number): void {
		for (const {id, tokens} of blocks) {
			const known = this.#cache.get(id);
			this.#cachedTokens += tokens - (known?.tokens ?? 0);
			this.#cache.delete(id);
			this.#cache.set(id, {tokens, at: known?.at ?? at});
		}

		for (const [id, {tokens}] of this.#cache) {
			if (this.#cachedTokens <= this.options.capacityTokens) {
				break;
			}

			this.#cache.delete(id);
			this.#cachedTokens -= tokens;
		}
	}
}
