/**
 * The port to a cache store: memory and disk tiers for KV cache blocks. Each write of a block has a new generation; the block
 * becomes readable only when it is sealed with its length and digest.
 */
import {type Buffer} from 'node:buffer';
import {type Either} from 'purify-ts/Either';

/** Identifies one write of a block. A block that is freed and rewritten has a new generation. */
export type BlockGeneration = {
	pieceKey: string;
	generation: string;
};

/** The length in bytes and the digest with which a block is sealed. */
export type BlockSeal = {
	length: number;
	digest: string;
};

/** A sealed block as listed by a store. It is a hint: the block may be freed before it is read. */
export type SealedBlock = {
	piece: BlockGeneration;
	seal: BlockSeal;
};

/** Why a call to a store failed. `absent`: the block was freed, was not written, or is not sealed. */
export type CacheStoreFailure
	= | {kind: 'unavailable'; detail: string}
		| {kind: 'full'}
		| {kind: 'absent'}
		| {kind: 'damaged'; detail: string};

/** The cache store's interface. */
export interface CacheStore {
	write(address: string, block: BlockGeneration, content: Buffer): Promise<Either<CacheStoreFailure, void>>;
	seal(address: string, block: BlockGeneration, seal: BlockSeal): Promise<Either<CacheStoreFailure, void>>;
	read(address: string, block: BlockGeneration, seal: BlockSeal): Promise<Either<CacheStoreFailure, Buffer>>;
	/** Returns the sealed blocks of a prompt's prefix, up to the first block that the store does not have. */
	findBlocks(address: string, blockKeys: readonly string[]): Promise<Either<CacheStoreFailure, SealedBlock[]>>;
	/** Returns the sealed blocks that were least recently read or found, least recent first. */
	leastRecentlyUsed(address: string, count: number): Promise<Either<CacheStoreFailure, SealedBlock[]>>;
	free(address: string, block: BlockGeneration): Promise<Either<CacheStoreFailure, void>>;
}
