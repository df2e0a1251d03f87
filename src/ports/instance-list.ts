/**
 * The port to the platform's list of live and leaving instances. The list lags by seconds, so it is a hint: what an
 * instance says of itself goes before it.
 */
import {type Either} from 'purify-ts/Either';
import {type ListedInstance} from '../shared/types.js';

/** How a call to the list failed. */
export type InstanceListFailure = {kind: 'unavailable'; detail: string};

/** The list as savorygauge uses it. */
export interface InstanceList {
	read(): Promise<Either<InstanceListFailure, ListedInstance[]>>;
}
