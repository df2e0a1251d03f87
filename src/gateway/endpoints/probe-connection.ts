/** Tries to open a connection to an address and closes it at once. */
import {connectEndpoint} from './connect-endpoint.js';

/**
 * How a connection attempt ended.
 *
 * - `accepted`: a process listens there, also if it has no room for another connection.
 * - `refused`: the host answers, and no process listens there.
 * - `silent`: no answer in time, or the host cannot be reached.
 */
export type ProbeResult = 'accepted' | 'refused' | 'silent';

/** @param address - `IP:port`. */
export async function probeConnection(address: string): Promise<ProbeResult> {
	const connected = await connectEndpoint(address);
	if (connected === 'reset') {
		return 'accepted';
	}

	if (typeof connected === 'string') {
		return connected;
	}

	connected.destroy();
	return 'accepted';
}
