/**
 * Notes why this process closes a caller's connection, so that a log line can tell this from a caller that disconnects: to
 * the request both are the same `close` event.
 */
import {type Duplex} from 'node:stream';

/**
 * Why a connection was closed.
 *
 * - `answer-aborted`: an answer that had begun could not be completed.
 * - `memory-limit`: the caller did not read its answer while this process held too many bytes.
 * - `connection-limit`: all connections of the listener were in use, and others needed this one.
 * - `last-answer`: an answer that announced the close was complete.
 * - `drain`: the listener is draining, and the connection was idle or its answer complete.
 * - `idle-timeout`: no request arrived on a connection that was kept open.
 * - `request-timeout`: the request, or its head, did not arrive in time.
 * - `body-outstanding`: a request was answered, and the rest of its body did not arrive.
 * - `invalid-bytes`: the caller sent bytes that are not a valid request.
 * - `half-closed-unverifiable`: the caller has closed its sending side, and no bytes can be sent that show if it still reads.
 * - `half-closed-reset`: the caller has closed its sending side, and reset the connection when it was sent bytes.
 */
export type CloseReason
	= | 'answer-aborted'
		| 'memory-limit'
		| 'connection-limit'
		| 'last-answer'
		| 'drain'
		| 'idle-timeout'
		| 'request-timeout'
		| 'body-outstanding'
		| 'invalid-bytes'
		| 'half-closed-unverifiable'
		| 'half-closed-reset';

/** Who closed a connection, and why. `closeReason` is the code of the socket's error where the caller closed it. */
export type ConnectionClose = {
	closedBy: 'instance' | 'caller' | 'unknown';
	closeReason?: string;
};

const reasons = new WeakMap<Duplex, CloseReason>();

/** Notes why this process is about to close a connection, unless it is closed already. The first reason stays. */
export function noteClose(connection: Duplex, reason: CloseReason): void {
	if (!connection.destroyed) {
		noteClosed(connection, reason);
	}
}

/** Notes why this process has closed a connection, for those that Node closes by itself. The first reason stays. */
export function noteClosed(connection: Duplex, reason: CloseReason): void {
	if (!reasons.has(connection)) {
		reasons.set(connection, reason);
	}
}

/**
 * Returns who closed a connection, and why.
 *
 * @param connection - The connection. While it is open, `closedBy` is `unknown` unless its close has been noted.
 */
export function connectionCloseOf(connection: Duplex): ConnectionClose {
	const reason = reasons.get(connection);
	if (reason !== undefined) {
		return {closedBy: reason === 'half-closed-reset' ? 'caller' : 'instance', closeReason: reason};
	}

	const {errored} = connection;
	return errored === null ? {closedBy: 'unknown'} : {closedBy: 'caller', closeReason: 'code' in errored ? String(errored.code) : errored.message};
}
