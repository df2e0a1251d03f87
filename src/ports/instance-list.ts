/**
 * The port to the platform's list of live and leaving instances. The list lags by seconds, so it is a hint: an instance's own
 * report takes precedence.
 */
import {type Either} from 'purify-ts/Either';
import {type ListedInstance} from '../shared/types.js';

/** Why a call to the list failed. */
export type InstanceListFailure = {kind: 'unavailable'; detail: string};

/** The instance list's interface. */
export interface InstanceList {
	read(): Promise<Either<InstanceListFailure, ListedInstance[]>>;
}
