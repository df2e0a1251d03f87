/**
 * Tells a connection that its peer closed in order from one that was reset, at the moment its end is reported.
 *
 * A reset that arrives together with the last bytes is reported by Node as an ordinary end: an answer that ends with its
 * connection would pass for whole though the endpoint died in the middle of it. The operating system knows no peer of a
 * connection that was reset, while one that the peer closed in order still has it until this side closes as well. An end
 * that is reported while the peer is known can only come from the peer's own close, which is behind all of its bytes.
 *
 * The system itself is asked each time. `socket.remoteAddress` would not do: Node remembers it, and any earlier look at it,
 * by a log line or for an earlier request on the connection, would let a reset pass for an end.
 */
import {type Socket} from 'node:net';

/** The part of Node's connection handle that asks the system; it gives 0 if the peer is known. */
type PeerLookup = {getpeername?(found: Record<string, unknown>): number};

/**
 * Whether the peer closed the connection in order. Must be called when `end` is emitted, before this side closes.
 *
 * @param socket - The connection.
 * @returns False also where it cannot be known, such as without a handle: what is not proved does not count as whole.
 */
export function isClosedInOrder(socket: Socket): boolean {
	const {_handle: handle} = socket as unknown as {_handle?: PeerLookup | null};
	return handle?.getpeername?.({}) === 0;
}
