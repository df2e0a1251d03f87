/** Opens a connection to an endpoint that is used for one purpose, beside those of requests. */
import {connect, type Socket} from 'node:net';
import {splitAddress} from '../../shared/split-address.js';

/** Timeout of an attempt; a request's connection has the same one. */
const connectTimeoutMilliseconds = 250;

/** How a connection attempt failed. */
export type FailedConnection = 'refused' | 'reset' | 'silent';

const resultOfCode: Readonly<Record<string, FailedConnection>> = {ECONNREFUSED: 'refused', ECONNRESET: 'reset'};

/**
 * Connects to an endpoint.
 *
 * @param address - `IP:port`.
 * @returns The paused connection; `refused` if no process listens there, `reset` if one does and ends the connection at once, as a
 * full endpoint does, `silent` if it is not established in time, or the text is no address.
 */
export async function connectEndpoint(address: string): Promise<Socket | FailedConnection> {
	const target = splitAddress(address);
	if (target === undefined) {
		return 'silent';
	}

	return new Promise(resolve => {
		const socket = connect({...target, noDelay: true, allowHalfOpen: true});
		const fail = (result: FailedConnection): void => {
			socket.destroy();
			resolve(result);
		};

		const timer = setTimeout(() => {
			// In a process that was paused, the connection may be established as well, and timers run before its event.
			setImmediate(() => {
				if (socket.connecting) {
					fail('silent');
				}
			});
		}, connectTimeoutMilliseconds);
		const failOnError = (error: NodeJS.ErrnoException): void => {
			clearTimeout(timer);
			fail(resultOfCode[error.code ?? ''] ?? 'silent');
		};

		socket.once('error', failOnError);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.off('error', failOnError);
			socket.pause();
			resolve(socket);
		});
	});
}
