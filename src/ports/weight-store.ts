/**
 * The port to the weight store, from which engines load their weights. Its bandwidth is limited: if more engines load at once
 * than it serves at full speed, each load takes longer, so the number of loads is checked before another one is ordered.
 */
import {type Either} from 'purify-ts/Either';

/** A set of weights that an engine can load. */
export type StoredWeights = {
	model: string;
	weightVersion: string;
	bytes: number;
};

/** The store's load. */
export type WeightStoreLoad = {
	/** The number of engines that load from it now. */
	loading: number;
	/** The number of engines that can load at once at full speed. */
	fullSpeedLoads: number;
	bytesPerSecond: number;
};

/** Why a call to the store failed. `rate-limited`: the store's own limit on calls, with the time after which to retry. */
export type WeightStoreFailure
	= | {kind: 'unavailable'; detail: string}
		| {kind: 'rate-limited'; retryAfterMilliseconds: number};

/** The weight store's interface. */
export interface WeightStore {
	/** The weight versions of a model, oldest first. */
	versions(model: string): Promise<Either<WeightStoreFailure, StoredWeights[]>>;
	load(): Promise<Either<WeightStoreFailure, WeightStoreLoad>>;
}
