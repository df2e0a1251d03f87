import {type Socket} from 'node:net';

/** The method of Node's connection handle that queries the operating system; it returns 0 if the peer is known. */
type PeerLookup = {getpeername?(found: Record<string, unknown>): number};

/**
 * Checks whether the operating system still has a peer for a connection. It has none for one that was reset, also while Node
 * has not reported the reset.
 *
 * The operating system is queried each time. `socket.remoteAddress` is not enough: Node caches it, so that an earlier read,
 * by a log line or for an earlier request on the connection, would hide the reset.
 *
 * @param socket - The connection.
 * @returns False also where it cannot be determined, such as without a handle.
 */
export function hasConnectedPeer(socket: Socket): boolean {
	const {_handle: handle} = socket as unknown as {_handle?: PeerLookup | null};
	return handle?.getpeername?.({}) === 0;
}
