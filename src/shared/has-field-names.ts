/** Checks the names of a list of HTTP fields. */
import {isFieldName} from './is-field-name.js';

/**
 * Returns whether all names of a list of fields are tokens.
 *
 * @param rawFields - Alternating names and values.
 */
export function hasFieldNames(rawFields: readonly string[]): boolean {
	return rawFields.every((text, index) => index % 2 === 1 || isFieldName(text));
}
