/**
 * What makes a kept piece readable: a seal over its length and digest, which a hint carries beside the piece's key and
 * generation. The weight version is part of the key (`pieceKeysOf`), so a piece of other weights is never looked up.
 */
import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type CacheStoreFailure, type PieceSeal} from '../../ports/cache-store.js';

/**
 * Gives the seal of a piece.
 *
 * @param content - The whole piece.
 * @returns Its length in bytes and its SHA-256 digest.
 */
export function sealOf(content: Buffer): PieceSeal {
	return {length: content.length, digest: createHash('sha256').update(content).digest('hex')};
}

/**
 * Checks what was read against the seal that the reader expects.
 *
 * A hint may be old: the place was freed and reused, or its writer died half-way. The symptom would be an engine that
 * goes on from another prompt's state. The store's own seal is compared first (the near end), then the bytes that came
 * (the far end); a piece whose bytes changed during the reading fails the second.
 *
 * @param expected - The seal of the hint.
 * @param stored - The seal that the store names with the bytes.
 * @param content - The bytes that came.
 * @returns The bytes, or why they must not be used.
 */
export function checkPiece(expected: PieceSeal, stored: PieceSeal, content: Buffer): Either<CacheStoreFailure, Buffer> {
	if (stored.length !== expected.length || stored.digest !== expected.digest) {
		return Left({kind: 'absent'});
	}

	const came = sealOf(content);
	return came.length === expected.length && came.digest === expected.digest
		? Right(content)
		: Left({kind: 'damaged', detail: `${came.length} bytes came that do not have the sealed digest`});
}
