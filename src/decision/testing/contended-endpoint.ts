/**
 * An endpoint in virtual time: one that rejects calls beyond its slots, or an engine that prefills prompts one after the other,
 * the most urgent one first.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type EndpointLoad, rankCount} from '../placement/endpoint-load.js';
import {type EventQueue} from './event-queue.js';

/** How long an engine sends the answer to a prompt after its first token, in milliseconds. */
const decodeMilliseconds = 500;

/** What an endpoint does for a request. */
export type ContendedWork = {rank: number; tokens: number; milliseconds: number; answered: () => void; ended: () => void};

export class ContendedEndpoint {
	readonly record: EndpointRecord;
	readonly #events: EventQueue;
	readonly #waiting: ContendedWork[] = [];
	readonly #pendingTokens = Array.from({length: rankCount}, () => 0);
	#requests = 0;
	#heldTokens = 0;
	#isPrefilling = false;

	constructor(record: EndpointRecord, events: EventQueue) {
		this.record = record;
		this.#events = events;
	}

	get load(): EndpointLoad {
		return {
			requests: this.#requests, pendingPrefillTokens: [...this.#pendingTokens], heldTokens: this.#heldTokens, oldestWaitMilliseconds: 0, lastByteAgoMilliseconds: 0,
		};
	}

	/** Returns false if the request is rejected. */
	accept(work: ContendedWork): boolean {
		const isCall = work.tokens === 0;
		if (isCall && this.#requests >= this.record.slots) {
			return false;
		}

		this.#requests++;
		this.#heldTokens += work.tokens;
		if (isCall) {
			this.#events.at(this.#events.now + work.milliseconds, () => {
				work.answered();
				this.#end(work);
			});
			return true;
		}

		this.#pendingTokens[work.rank]! += work.tokens;
		this.#waiting.push(work);
		this.#prefillNext();
		return true;
	}

	#prefillNext(): void {
		const rank = Math.min(...this.#waiting.map(work => work.rank));
		const index = this.#waiting.findIndex(work => work.rank === rank);
		if (this.#isPrefilling || index === -1) {
			return;
		}

		const work = this.#waiting.splice(index, 1)[0]!;
		this.#isPrefilling = true;
		this.#events.at(this.#events.now + work.milliseconds, () => {
			this.#isPrefilling = false;
			this.#pendingTokens[work.rank]! -= work.tokens;
			work.answered();
			this.#events.at(this.#events.now + decodeMilliseconds, () => {
				this.#end(work);
			});
			this.#prefillNext();
		});
	}

	#end(work: ContendedWork): void {
		this.#requests--;
		this.#heldTokens -= work.tokens;
		work.ended();
	}
}
