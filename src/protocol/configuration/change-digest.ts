import {canonicalJson} from '../../shared/canonical-json.js';
import {digestOf} from '../../shared/digest-of.js';
import {type ConfigurationChange, type JsonValue} from '../../shared/types.js';

/**
 * Returns the digest of a change.
 *
 * It covers the version, the previous digest and the edits, so that two instances at the same version and digest have applied
 * the same edits in the same order.
 *
 * @param change - The change; a `digest` in it is ignored.
 * @returns 64 hexadecimal digits.
 */
export function changeDigest(change: Omit<ConfigurationChange, 'digest'>): string {
	const {version, previousDigest, edits} = change;
	return digestOf(canonicalJson({version, previousDigest, edits}));
}
