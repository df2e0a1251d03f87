/**
 * Seals of saved cache blocks. A block can be read only with the seal of its length and digest, which a hint carries next to
 * the block's key and generation. The weight version is part of the key (`promptBlockKeysOf`), so blocks of other weights are
 * not found.
 */
import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type CacheStoreFailure, type BlockSeal} from '../../ports/cache-store.js';

/**
 * Returns the seal of a block.
 *
 * @param content - The whole block.
 * @returns Its length in bytes and its SHA-256 digest.
 */
export function sealOf(content: Buffer): BlockSeal {
	return {length: content.length, digest: createHash('sha256').update(content).digest('hex')};
}

/**
 * Checks a block that was read against the expected seal.
 *
 * A hint may be outdated: its place was freed and reused, or the writer failed halfway. Without the check an engine could
 * continue from the state of another prompt. The store's own seal is compared first, then the received bytes; a block whose
 * bytes changed during the read fails the second comparison.
 *
 * @param expected - The seal of the hint.
 * @param stored - The seal that the store returned with the bytes.
 * @param content - The received bytes.
 * @returns The bytes, or the reason why they must not be used.
 */
export function verifyBlock(expected: BlockSeal, stored: BlockSeal, content: Buffer): Either<CacheStoreFailure, Buffer> {
	if (stored.length !== expected.length || stored.digest !== expected.digest) {
		return Left({kind: 'absent'});
	}

	const received = sealOf(content);
	return received.length === expected.length && received.digest === expected.digest
		? Right(content)
		: Left({kind: 'damaged', detail: `the ${received.length} bytes received do not match the sealed length and digest`});
}
