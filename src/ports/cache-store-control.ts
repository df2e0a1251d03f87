/** The port to a managed cache store, which evicts nothing by itself: its content, and the order to free blocks. */
import {type Either} from 'purify-ts/Either';

/** A cached block: its salt and id, and its length in tokens. */
export type StoredBlock = {
	salt: string;
	id: string;
	tokens: number;
};

/** The content of a store at one time. */
export type StoreListing = {
	epoch: number;
	/** The position of the first event after this listing. */
	next: number;
	parts: StoredBlock[];
	/** Blocks that are being written, or whose write was interrupted; they occupy the tokens reserved for them. */
	partial: StoredBlock[];
};

/** The changes in a store since a position. */
export type StoreEvents = {
	/** Changes when the store restarts; a restarted store is empty. */
	epoch: number;
	next: number;
	/** Some events were lost: the store must be listed again. */
	isIncomplete: boolean;
	added: StoredBlock[];
	removed: StoredBlock[];
	/** The engines' clock, in milliseconds, when the store answered. */
	clockMilliseconds: number | undefined;
};

/** An order to free blocks. It is void in another epoch and after `untilMilliseconds`. */
export type FreeOrder = {
	parts: ReadonlyArray<{salt: string; id: string}>;
	epoch: number;
	/** In milliseconds on the engines' clock. */
	untilMilliseconds: number;
};

export interface CacheStoreControl {
	list(address: string): Promise<Either<string, StoreListing>>;
	events(address: string, since: number, waitMilliseconds: number): Promise<Either<string, StoreEvents>>;
	/** After a `Left` the blocks may have been freed or not. */
	free(address: string, order: FreeOrder): Promise<Either<string, void>>;
}
