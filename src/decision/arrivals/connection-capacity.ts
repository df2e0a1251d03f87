/** Derives how many connections callers may hold from the descriptors that the process may have. */

/** The platform counts so many descriptors for files; sockets and pipes share the others. */
const fileDescriptors = 200;
/** Part of the others that is left to connections to endpoints that are kept, to the store and to other instances. */
const reservedShare = 0.2;
/** A process with fewer descriptors than this could not serve; it is run as well as possible. */
const minCapacity = 16;

/**
 * Returns how many connections callers and their requests may hold together: each connection counts once, and once more while its
 * request is being served, for the connection to an endpoint.
 *
 * @param maxDescriptors - The descriptors that the process may have.
 * @returns For example 1495 of 2069 descriptors.
 */
export function connectionCapacityOf(maxDescriptors: number): number {
	return Math.max(minCapacity, Math.floor((1 - reservedShare) * (maxDescriptors - fileDescriptors)));
}
