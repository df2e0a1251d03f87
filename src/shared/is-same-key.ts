/** Compares secrets. */
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';

/**
 * Compares a given secret with the known one, in a time that does not depend on where they differ.
 *
 * @param given - What a peer has sent.
 * @param known - What it should be.
 * @returns Whether both are the same.
 */
export function isSameKey(given: string, known: string): boolean {
	const [left, right] = [Buffer.from(given), Buffer.from(known)];
	return left.length === right.length && timingSafeEqual(left, right);
}
