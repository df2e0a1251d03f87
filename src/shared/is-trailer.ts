/** Checks the fields of a trailer. */
import {hasFieldNames} from './has-field-names.js';

/** The fields that frame a body; in a trailer they are invalid (RFC 9110, section 6.5.1). */
const framingFields: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

/**
 * Returns whether the fields of a trailer are valid.
 *
 * @param rawFields - Alternating names and values.
 */
export function isTrailer(rawFields: readonly string[]): boolean {
	return hasFieldNames(rawFields) && rawFields.every((text, index) => index % 2 === 1 || !framingFields.has(text.toLowerCase()));
}
