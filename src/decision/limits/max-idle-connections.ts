/**
 * Decides how many idle connections an instance keeps to one endpoint.
 *
 * An endpoint limits the connections of all instances together, and resets those beyond its limit. Idle connections of some
 * instances would keep it full while others need one for a request.
 */
import {hashOf} from '../../shared/hash-of.js';

/** Who keeps connections, and what the endpoint accepts. */
export type ConnectionShare = {
	/** The maximum number of connections to the endpoint from all instances together; 0 where there is none. */
	connectionLimit: number;
	/** How many instances there are; 0 while that is unknown. */
	instances: number;
	/** The name of this one. */
	instance: string;
	/** `IP:port` of the endpoint. */
	address: string;
};

/** Share of the limit that all instances together may keep idle; the rest is for requests. */
const idleShare = 0.5;
/** Assumed by an instance that does not know of the others yet. */
const assumedInstances = 32;

/**
 * Returns the number of idle connections: an equal part for each instance. Where that is less than one, some instances keep one,
 * others for each endpoint.
 */
export function maxIdleConnections({connectionLimit, instances, instance, address}: ConnectionShare): number {
	if (connectionLimit === 0) {
		return Number.POSITIVE_INFINITY;
	}

	const part = idleShare * connectionLimit / (instances === 0 ? assumedInstances : instances);
	const drawn = hashOf(`${instance}|${address}`) / (2 ** 32);
	return Math.floor(part) + (drawn < part % 1 ? 1 : 0);
}
