/**
 * The port to the platform's object store: durable objects by key, for data that is too large for a row, such as
 * configuration snapshots.
 */
import {type Buffer} from 'node:buffer';
import {type Either} from 'purify-ts/Either';

/** Why a call to the object store failed. A failed write may have been applied. */
export type ObjectStoreFailure = {kind: 'unavailable'; detail: string};

/** The object store's interface. */
export interface ObjectStore {
	read(key: string): Promise<Either<ObjectStoreFailure, Buffer | undefined>>;
	write(key: string, content: Buffer): Promise<Either<ObjectStoreFailure, void>>;
}
