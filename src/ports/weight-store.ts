/**
 * The port to the weight store, from which engines load their weights. Its rate is limited: with more engines loading
 * at once than it serves at full speed, each of them takes longer, so whoever orders loads asks first how many run.
 */
import {type Either} from 'purify-ts/Either';

/** One set of weights that an engine can be told to load. */
export type StoredWeights = {
	model: string;
	weightVersion: string;
	bytes: number;
};

/** How busy the store is. */
export type WeightStoreLoad = {
	/** Engines that load from it now. */
	loading: number;
	/** How many can load at once at full speed. */
	fullSpeedLoads: number;
	bytesPerSecond: number;
};

/** How a call to the store failed. Its own limit on calls says when to come back. */
export type WeightStoreFailure
	= | {kind: 'unavailable'; detail: string}
		| {kind: 'rate-limited'; retryAfterMilliseconds: number};

/** The weight store as savorygauge uses it. */
export interface WeightStore {
	/** The weight versions of a model, oldest first. */
	versions(model: string): Promise<Either<WeightStoreFailure, StoredWeights[]>>;
	load(): Promise<Either<WeightStoreFailure, WeightStoreLoad>>;
}
