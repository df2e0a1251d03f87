/** Derives how many bytes an instance may hold for its callers from the memory limit of its process. */

/** In bytes. */
export type MemoryLimits = {
	/** Above it an answer is read only as fast as its caller takes it. */
	softBytes: number;
	/** Above it new bodies are refused, and answers that nobody reads are ended. */
	hardBytes: number;
	/** The part of the hard limit that request bodies may fill, so that answers can still be delivered. */
	bodyBytes: number;
};

const mebibyte = 1_048_576;
/** What the process needs itself: 70 to 90 MiB are resident soon after its start, and some 30 MiB more once it relays answers. */
const processBytes = 112 * mebibyte;
/**
 * Share of the rest that may be held. Buffers that were released take memory until the next garbage collection, and the gaps that
 * they leave are not returned to the operating system: each held byte comes with some three more resident ones.
 */
const heldShare = 0.25;
/** An instance whose limit leaves less than this could not relay a single large answer; it is served as well as possible. */
const minHardBytes = 4 * mebibyte;
const softShare = 0.5;
const bodyShare = 0.75;

/**
 * Returns the limits of an instance.
 *
 * @param memoryBytes - The memory limit of the process.
 * @returns For example 22.5 MiB as the hard limit of a process with 202 MiB.
 */
export function memoryLimitsOf(memoryBytes: number): MemoryLimits {
	const hardBytes = Math.max(minHardBytes, Math.floor(heldShare * (memoryBytes - processBytes)));
	return {softBytes: Math.floor(softShare * hardBytes), hardBytes, bodyBytes: Math.floor(bodyShare * hardBytes)};
}
