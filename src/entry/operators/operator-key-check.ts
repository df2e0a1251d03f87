import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {digestOf} from '../../shared/digest-of.js';

/**
 * Makes the check of the operators' key.
 *
 * Digests are compared in constant time, so that the time of a refusal tells nothing of the key.
 *
 * @param operatorKey - The key that is expected.
 * @returns A function that tells whether an `Authorization` header carries the key.
 */
export function operatorKeyCheck(operatorKey: string): (authorization: string | undefined) => boolean {
	const expected = Buffer.from(digestOf(`Bearer ${operatorKey}`));
	return authorization => timingSafeEqual(expected, Buffer.from(digestOf(authorization ?? '')));
}
