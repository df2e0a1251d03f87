import {type Dispatcher} from 'undici';

/** Time limit for draining a body, after which its connection is closed. */
const discardMilliseconds = 500;
/** Reading more than this costs more than opening a new connection. */
const discardBytes = 131_072;

/**
 * Drains an unconsumed response body so that its connection can be reused, and closes the connection if the end does not
 * arrive within half a second. Without the limits, a server that stalls or never stops sending would hold the connection.
 *
 * @param body - The body of a response that has been handled already, so errors in the rest of it do not matter.
 */
export async function discardBody(body: Dispatcher.ResponseData['body']): Promise<void> {
	try {
		await body.dump({limit: discardBytes, signal: AbortSignal.timeout(discardMilliseconds)});
	} catch {
		// In this case undici closes the connection, so nothing is left to release.
	}
}
