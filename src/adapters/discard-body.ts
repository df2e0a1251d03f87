import {type Dispatcher} from 'undici';

/** Time for the rest of an unconsumed body to arrive before its connection is closed. */
const discardMilliseconds = 500;
/** A longer body costs more to read than a new connection. */
const discardBytes = 131_072;

/**
 * Drains an unconsumed response body so that its connection can be reused, and closes the connection if the end does not
 * arrive within half a second. Without the limits, a server that stalls or never stops sending would hold the connection.
 *
 * @param body - The body; its response has been judged already, so how it ends does not matter.
 */
export async function discardBody(body: Dispatcher.ResponseData['body']): Promise<void> {
	try {
		await body.dump({limit: discardBytes, signal: AbortSignal.timeout(discardMilliseconds)});
	} catch {
		// The connection is closed, which is all that is left to do for it.
	}
}
