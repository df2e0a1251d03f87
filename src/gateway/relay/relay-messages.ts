/**
 * The messages of a relayed connection. An instance that cannot connect to an endpoint connects to another instance, the
 * relay, which connects to the endpoint for it.
 *
 * The first message of each side is one of these frames. Then the bytes of the request follow as they are, and those of the
 * answer in frames of bytes, so that the end of the answer can be told from the end of the relay.
 */

/** Requests a connection to an endpoint. */
export type OpenFrame = {
	kind: 'open';
	/** What all instances share; whoever does not know it gets no answer. */
	key: string;
	/** The endpoint's `IP:port`. */
	address: string;
	/** The relay closes the connection after this time. */
	remainingMilliseconds: number;
};

/**
 * Why a relay did not open a connection.
 *
 * - `refused`: the endpoint's host answers, and no process listens there.
 * - `silent`: no answer in time, or the host cannot be reached from the relay.
 * - `unlisted`: the relay does not know the endpoint.
 * - `cut-off`: the relay does not reach the endpoint itself; this says nothing about the endpoint.
 * - `busy`: the relay has no room for another connection.
 */
export type RelayRefusal = 'refused' | 'silent' | 'unlisted' | 'cut-off' | 'busy';

/** The answer to it, and the end of an endpoint's bytes where the endpoint closed the connection in order. */
export type RelayFrame
	= | {kind: 'opened'}
		| {kind: 'declined'; reason: RelayRefusal}
		| {kind: 'end'};

/** What an instance reports about its own relay to the coordinator, and the coordinator to others. */
export type RelayReport = {
	/** `IP:port`. */
	address: string;
	dataCentre: string;
	/** Listed endpoints to which the relay has no connection of its own. */
	unreachable: number;
	/** Connections that it relays at present. */
	connections: number;
};
