/** Where the last shared part of a prompt is read if nobody keeps it: by rendezvous hash, the same at all instances. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {hashOf} from '../../shared/hash-of.js';
import {type PromptShape} from '../../shared/prompt-shape.js';

/**
 * Gives the home of a prompt.
 *
 * @param prompt - Its last shared part counts; its own part if it shares none.
 * @param cacheScope - Who shares cached parts with it.
 * @param endpoints - The engines to choose from. When one joins or leaves, only its own parts change their home.
 * @returns The home; `undefined` without engines or parts.
 */
export function homeOf({parts}: PromptShape, cacheScope: string, endpoints: readonly EndpointRecord[]): EndpointRecord | undefined {
	const part = parts.at(-2) ?? parts.at(-1);
	if (part === undefined) {
		return undefined;
	}

	let home: EndpointRecord | undefined;
	let highest = -1;
	for (const endpoint of endpoints) {
		const hash = hashOf(`${cacheScope}|${part.id}|${endpoint.name}`);
		if (hash > highest) {
			home = endpoint;
			highest = hash;
		}
	}

	return home;
}
