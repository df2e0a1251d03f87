import {type JsonValue} from './types.js';

/**
 * Serializes a value as JSON with sorted member names.
 *
 * Two values that differ only in the order of their members give the same text, so a digest of the text identifies the value.
 *
 * @param value - The value. Members that are `undefined` are omitted, as in `JSON.stringify`.
 * @returns The text, without white space.
 * @example
 * canonicalJson({b: 1, a: 2}); // '{"a":2,"b":1}'
 */
export function canonicalJson(value: JsonValue): string {
	if (value === null || typeof value !== 'object') {
		return JSON.stringify(value);
	}

	if (Array.isArray(value)) {
		return `[${value.map(element => canonicalJson(element)).join(',')}]`;
	}

	const members = Object.keys(value)
		.filter(name => value[name] !== undefined)
		.toSorted()
		.map(name => `${JSON.stringify(name)}:${canonicalJson(value[name]!)}`);
	return `{${members.join(',')}}`;
}
