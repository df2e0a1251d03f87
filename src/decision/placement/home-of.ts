/** Where the last shared part of a prompt is read if nobody keeps it: by rendezvous hash, the same at all instances. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {hashOf} from '../../shared/hash-of.js';
import {type PromptShape} from '../../shared/prompt-shape.js';

/**
 * Gives the home of a prompt, and those that take its place when it is gone.
 *
 * @param prompt - Its last shared part counts; its own part if it shares none.
 * @param cacheScope - Who shares cached parts with it.
 * @param endpoints - The engines to choose from. When one joins or leaves, only its own parts change their home.
 * @param count - How many to give.
 * @returns The home first; nothing without engines or parts.
 */
export function homesOf({parts}: PromptShape, cacheScope: string, endpoints: readonly EndpointRecord[], count: number): EndpointRecord[] {
	const part = parts.at(-2) ?? parts.at(-1);
	if (part === undefined) {
		return [];
	}

	const best: Array<{endpoint: EndpointRecord; hash: number}> = [];
	for (const endpoint of endpoints) {
		const hash = hashOf(`${cacheScope}|${part.id}|${endpoint.name}`);
		const place = best.findIndex(other => hash > other.hash);
		if (place !== -1) {
			best.splice(place, 0, {endpoint, hash});
			best.length = Math.min(best.length, count);
		} else if (best.length < count) {
			best.push({endpoint, hash});
		}
	}

	return best.map(({endpoint}) => endpoint);
}
