/** Tries to open a connection to an address and closes it at once. */
import {connect} from 'node:net';

/**
 * How a connection attempt ended.
 *
 * - `accepted`: a process listens there.
 * - `refused`: the host answers, and no process listens there.
 * - `silent`: no answer in time, or the host cannot be reached.
 */
export type ProbeResult = 'accepted' | 'refused' | 'silent';

/** Timeout of an attempt; a request's connection has the same one. */
const connectTimeoutMilliseconds = 250;

/** @param address - `IP:port`. */
export async function probeConnection(address: string): Promise<ProbeResult> {
	const separator = address.lastIndexOf(':');
	return new Promise(resolve => {
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
		const end = (result: ProbeResult): void => {
			socket.destroy();
			resolve(result);
		};

		socket.setTimeout(connectTimeoutMilliseconds, () => {
			// In a process that was paused, the connection may be established as well, and timers run before its event.
			setImmediate(end, 'silent');
		});
		socket.once('connect', () => {
			end('accepted');
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			end(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
		});
	});
}
