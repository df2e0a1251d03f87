/**
 * The port to a cache store instance: the memory and disk tiers for KV cache pieces. A piece is written under a fresh
 * generation and becomes readable only when it is sealed with its length and digest.
 */
import {type Buffer} from 'node:buffer';
import {type Either} from 'purify-ts/Either';

/** Names one write of a piece. A freed and rewritten piece has a new generation. */
export type PieceName = {
	pieceKey: string;
	generation: string;
};

/** What seals a piece. */
export type PieceSeal = {
	length: number;
	digest: string;
};

/** How a call to a store failed. `absent` covers freed, never written and not sealed. */
export type CacheStoreFailure
	= | {kind: 'unavailable'; detail: string}
		| {kind: 'full'}
		| {kind: 'absent'}
		| {kind: 'damaged'; detail: string};

/** A cache store as savorygauge uses it. */
export interface CacheStore {
	write(address: string, piece: PieceName, content: Buffer): Promise<Either<CacheStoreFailure, void>>;
	seal(address: string, piece: PieceName, seal: PieceSeal): Promise<Either<CacheStoreFailure, void>>;
	read(address: string, piece: PieceName, seal: PieceSeal): Promise<Either<CacheStoreFailure, Buffer>>;
	free(address: string, piece: PieceName): Promise<Either<CacheStoreFailure, void>>;
}
