/**
 * Distinguishes a connection that its peer closed in order from one that was reset, when the end is reported.
 *
 * Node reports a reset that arrives together with the last bytes as an ordinary end, so an answer that ends with its
 * connection would look complete though the endpoint died while sending it. The operating system has no peer address for a
 * connection that was reset. For one that the peer closed in order it has the address until this side closes as well. An end
 * that is reported while the peer is known can only come from the peer's own close, which follows all of its bytes.
 */
import {type Socket} from 'node:net';
import {hasConnectedPeer} from '../../serving/has-connected-peer.js';
import {RelayedSocket} from '../relay/relayed-socket.js';

/**
 * Checks whether the peer closed the connection in order. Must be called when `end` is emitted, before this side closes.
 *
 * @param socket - The connection.
 * @returns False also where it cannot be determined: without proof an answer is not complete.
 */
export function isClosedInOrder(socket: Socket): boolean {
	// A relayed connection ends in no other way; it fails where the relay has not reported the end.
	return socket instanceof RelayedSocket || hasConnectedPeer(socket);
}
