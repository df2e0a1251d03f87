/**
 * Parses JSON of other writers, whose nesting is limited.
 *
 * `JSON.parse` accepts any depth, but encoders and validators are recursive: a value that is nested a few thousand times fails with a
 * `RangeError` wherever it is encoded, compared or validated later, far from its origin.
 */
import {type JsonValue} from './types.js';

/** Far more than any format of ours or of the platform has. */
export const maxJsonDepth = 100;

const quote = '"'.codePointAt(0);
const backslash = '\\'.codePointAt(0);
const opening = new Set(['[', '{'].map(character => character.codePointAt(0)));
const closing = new Set([']', '}'].map(character => character.codePointAt(0)));

/**
 * Parses JSON.
 *
 * @param text - The text.
 * @throws `SyntaxError` for a text that is not JSON, or that nests arrays and objects more than `maxJsonDepth` times.
 */
export function parseShallowJson(text: string): JsonValue {
	if (isDeep(text)) {
		throw new SyntaxError(`the value is nested more than ${maxJsonDepth} times`);
	}

	return JSON.parse(text) as JsonValue;
}

/** Whether a text nests more than `maxJsonDepth` times, if it is JSON. */
function isDeep(text: string): boolean {
	let depth = 0;
	let isInString = false;
	for (let index = 0; index < text.length; index++) {
		// Brackets and quotes are single code units.
		const code = text.codePointAt(index);
		if (isInString) {
			if (code === backslash) {
				index++;
			} else if (code === quote) {
				isInString = false;
			}
		} else if (code === quote) {
			isInString = true;
		} else if (opening.has(code)) {
			depth++;
			if (depth > maxJsonDepth) {
				return true;
			}
		} else if (closing.has(code)) {
			depth--;
		}
	}

	return false;
}
