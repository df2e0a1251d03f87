/** What instances know together about where streams began. */
import {type StreamOrigin} from './stream-origin.js';

/** `sole-version`: the stream is not known, but its service has had no other version while it can have begun. */
export type OriginAnswer = {kind: 'known'; origin: StreamOrigin} | {kind: 'sole-version'; softwareVersion: string} | {kind: 'unknown'};

export interface StreamOrigins {
	/**
	 * Records where a stream began; to be called before its first event is forwarded.
	 *
	 * @param key - See `streamKey`.
	 * @param lifetimeMilliseconds - For how long a caller may take the stream up; 2 minutes at most.
	 */
	record(key: string, origin: StreamOrigin, lifetimeMilliseconds: number): void;

	/**
	 * Finds out where a stream began.
	 *
	 * @param key - See `streamKey`.
	 * @param service - The service to which the caller's request would go.
	 */
	findOrigin(key: string, service: string): Promise<OriginAnswer>;
}
