/**
 * Distinguishes a connection that its peer closed in order from one that was reset, when the end is reported.
 *
 * Node reports a reset that arrives together with the last bytes as an ordinary end, so an answer that ends with its
 * connection would look complete though the endpoint died while sending it. The operating system has no peer address for a
 * connection that was reset. For one that the peer closed in order it has the address until this side closes as well. An end
 * that is reported while the peer is known can only come from the peer's own close, which follows all of its bytes.
 *
 * The operating system is queried each time. `socket.remoteAddress` is not enough: Node caches it, so that an earlier read,
 * by a log line or for an earlier request on the connection, would make a reset look like an orderly close.
 */
import {type Socket} from 'node:net';

/** The method of Node's connection handle that queries the operating system; it returns 0 if the peer is known. */
type PeerLookup = {getpeername?(found: Record<string, unknown>): number};

/**
 * Checks whether the peer closed the connection in order. Must be called when `end` is emitted, before this side closes.
 *
 * @param socket - The connection.
 * @returns False also where it cannot be determined, such as without a handle: without proof an answer is not complete.
 */
export function isClosedInOrder(socket: Socket): boolean {
	const {_handle: handle} = socket as unknown as {_handle?: PeerLookup | null};
	return handle?.getpeername?.({}) === 0;
}
