/**
 * At which service and software version a stream began. A stream may go on only there, since another version may answer with
 * other events.
 */
import {createHash} from 'node:crypto';

export type StreamOrigin = {
	service: string;
	/** An endpoint without a version counts as of a version of its own. */
	softwareVersion: string;
};

/** Length of a key before its encoding. */
export const streamKeyBytes = 12;
/** No origin is kept for longer than this. */
export const maxOriginLifetimeMilliseconds = 120_000;

/**
 * Computes the key under which instances know a stream. It covers the workspace, so that a caller finds only the streams of
 * its own.
 *
 * @param workspace - Whose stream it is; `undefined` for a caller without a key.
 * @param attemptId - The attempt that brought the stream's first event.
 * @returns 12 bytes of a digest, as base64url.
 */
export function streamKey(workspace: string | undefined, attemptId: string): string {
	const text = JSON.stringify([workspace ?? null, attemptId]);
	return createHash('sha256').update(text).digest().subarray(0, streamKeyBytes).toString('base64url');
}
