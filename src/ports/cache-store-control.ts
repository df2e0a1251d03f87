/** The port to a cache store that drops nothing by itself: what it holds, and the order to free parts. */
import {type Either} from 'purify-ts/Either';

/** A cached part: its salt and id, and how many tokens it has. */
export type StoredPart = {
	salt: string;
	id: string;
	tokens: number;
};

/** What a store holds whole at one moment. */
export type StoreListing = {
	epoch: number;
	/** Where the events behind this listing begin. */
	next: number;
	parts: StoredPart[];
	/** Parts that are being written, or whose writing broke off; they take their reserved tokens. */
	partial: StoredPart[];
};

/** What changed in a store. */
export type StoreEvents = {
	/** Changes when the store restarts; it is empty then. */
	epoch: number;
	next: number;
	/** Some events are gone: the store has to be listed again. */
	isIncomplete: boolean;
	added: StoredPart[];
	removed: StoredPart[];
	/** The engines' clock, in milliseconds, when the answer was made. */
	clockMilliseconds: number | undefined;
};

/** Parts to free, and when the order is void. */
export type FreeOrder = {
	parts: ReadonlyArray<{salt: string; id: string}>;
	epoch: number;
	/** On the engines' clock. */
	untilMilliseconds: number;
};

export interface CacheStoreControl {
	list(address: string): Promise<Either<string, StoreListing>>;
	events(address: string, since: number, waitMilliseconds: number): Promise<Either<string, StoreEvents>>;
	/** A `Left` says that nothing may be assumed; the parts may be freed or not. */
	free(address: string, order: FreeOrder): Promise<Either<string, void>>;
}
