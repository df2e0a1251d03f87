import {testEndpoint} from '../../gateway/testing/test-endpoint.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type EndpointLoad, noLoad} from '../placement/endpoint-load.js';
import {type PlacementRequest} from '../placement/placement.js';

const slowFactor = 2.5;
/** Later than the end of any run. */
const lastChangeMilliseconds = 100_000;

/** A prompt that an instance has sent to an engine, and when its prefill ends. */
export type SentPrompt = {instance: number; request: PlacementRequest; at: number; endsAt: number; engine: PacedEngine};

/** An engine whose pace alternates, and which prefills its prompts one after the other. */
export class PacedEngine {
	readonly record: EndpointRecord;
	readonly inFlight: SentPrompt[] = [];
	readonly #changes: number[] = [];
	#freeAt = 0;

	constructor(index: number, stretches: {slow: number; share: number}, random: () => number) {
		this.record = testEndpoint({
			name: `e${index}`, service: 'engines', address: `10.0.0.${index}:1`, slots: 16, startedAt: 1000 + index,
		});
		// The first change, the third and so on begin a slow stretch; time 0 is at a random point of the alternation.
		const fast = stretches.slow * (1 - stretches.share) / stretches.share;
		let isSlow = true;
		for (let at = -random() * (stretches.slow + fast); at < lastChangeMilliseconds; isSlow = !isSlow) {
			this.#changes.push(at);
			at += (isSlow ? stretches.slow : fast) * (0.5 + random());
		}
	}

	paceAt(now: number): number {
		return this.#changes.filter(at => at <= now).length % 2 === 1 ? slowFactor : 1;
	}

	/** Adds a prompt; returns when its prefill ends. */
	prefill(milliseconds: number, now: number): number {
		let at = Math.max(now, this.#freeAt);
		let left = milliseconds;
		for (const change of this.#changes.filter(time => time > at)) {
			const pace = this.paceAt(at);
			if (at + (left * pace) <= change) {
				break;
			}

			left -= (change - at) / pace;
			at = change;
		}

		this.#freeAt = at + (left * this.paceAt(at));
		return this.#freeAt;
	}

	loadWithout(instance: number): EndpointLoad {
		const others = this.inFlight.filter(sent => sent.instance !== instance);
		const pending = others.reduce((sum, {request}) => sum + request.prompt!.promptTokens, 0);
		return {
			...noLoad, requests: others.length, pendingPrefillTokens: [0, pending, 0], heldTokens: pending,
		};
	}
}
