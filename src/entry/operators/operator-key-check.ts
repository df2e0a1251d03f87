import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {digestOf} from '../../shared/digest-of.js';

/**
 * Creates the check of the operators' key.
 *
 * Digests are compared in constant time, so that the timing of a refusal reveals nothing about the key.
 *
 * @param operatorKey - The expected key.
 * @returns A function that returns whether an `Authorization` header has the key.
 */
export function operatorKeyCheck(operatorKey: string): (authorization: string | undefined) => boolean {
	const expected = Buffer.from(digestOf(`Bearer ${operatorKey}`));
	return authorization => timingSafeEqual(expected, Buffer.from(digestOf(authorization ?? '')));
}
