/**
 * Forwards bytes between an instance and an endpoint: the request as it is, the answer in frames. Either side that does not
 * read pauses the other, and the end of either ends both.
 */
import {type Socket} from 'node:net';
import {encodeFrame} from '../../peer/framing/frame-codec.js';
import {hasConnectedPeer} from '../../serving/has-connected-peer.js';
import {type RelayFrame} from './relay-messages.js';

/**
 * Starts to forward.
 *
 * @param instance - The connection of the instance that sent the request.
 * @param endpoint - The connection to the endpoint.
 */
export function forwardBytes(instance: Socket, endpoint: Socket): void {
	instance.on('data', bytes => {
		if (!endpoint.write(bytes)) {
			instance.pause();
		}
	});
	endpoint.on('drain', () => {
		instance.resume();
	});
	endpoint.on('data', bytes => {
		if (!instance.write(encodeFrame(bytes))) {
			endpoint.pause();
		}
	});
	instance.on('drain', () => {
		endpoint.resume();
	});
	endpoint.once('end', () => {
		if (hasConnectedPeer(endpoint)) {
			instance.end(encodeFrame({kind: 'end'} satisfies RelayFrame));
		} else {
			instance.resetAndDestroy();
		}
	});
	endpoint.once('error', () => {
		instance.resetAndDestroy();
	});
	endpoint.once('close', () => {
		instance.destroySoon();
	});
	instance.once('end', () => {
		endpoint.destroy();
	});
	instance.once('close', () => {
		endpoint.destroy();
	});
	instance.resume();
	endpoint.resume();
}
