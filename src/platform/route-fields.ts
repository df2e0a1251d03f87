/** Fields of the platform's rows of routes that checks vary. */
import {type JsonValue} from '../shared/types.js';

/** Sends a route's requests to several services by weight. */
export function splitFields(targets: ReadonlyArray<{service: string; weight: number}>): Record<string, JsonValue> {
	return {traffic_split: targets.map(({service, weight}) => ({service, weight}))};
}

/** Says whether a route asks callers for a key. */
export function keyFields(requiresKey: boolean): Record<string, JsonValue> {
	return {no_auth: !requiresKey};
}
