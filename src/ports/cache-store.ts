/**
 * The port to a cache store: memory and disk tiers for KV cache blocks. Each write of a block has a new generation; the block
 * becomes readable only when it is sealed with its length and digest.
 */
import {type Buffer} from 'node:buffer';
import {type Either} from 'purify-ts/Either';

/** Identifies one write of a block. A block that is freed and rewritten has a new generation. */
export type PieceName = {
	pieceKey: string;
	generation: string;
};

/** The length in bytes and the digest with which a block is sealed. */
export type PieceSeal = {
	length: number;
	digest: string;
};

/** A sealed block as listed by a store. It is a hint: the block may be freed before it is read. */
export type StoredPiece = {
	piece: PieceName;
	seal: PieceSeal;
};

/** Why a call to a store failed. `absent`: the block was freed, was not written, or is not sealed. */
export type CacheStoreFailure
	= | {kind: 'unavailable'; detail: string}
		| {kind: 'full'}
		| {kind: 'absent'}
		| {kind: 'damaged'; detail: string};

/** The cache store's interface. */
export interface CacheStore {
	write(address: string, piece: PieceName, content: Buffer): Promise<Either<CacheStoreFailure, void>>;
	seal(address: string, piece: PieceName, seal: PieceSeal): Promise<Either<CacheStoreFailure, void>>;
	read(address: string, piece: PieceName, seal: PieceSeal): Promise<Either<CacheStoreFailure, Buffer>>;
	/** Returns the sealed blocks of a prompt's prefix, up to the first block that the store does not have. */
	findPieces(address: string, pieceKeys: readonly string[]): Promise<Either<CacheStoreFailure, StoredPiece[]>>;
	/** Returns the sealed blocks that were least recently read or found, least recent first. */
	oldest(address: string, count: number): Promise<Either<CacheStoreFailure, StoredPiece[]>>;
	free(address: string, piece: PieceName): Promise<Either<CacheStoreFailure, void>>;
}
