import process from 'node:process';

/**
 * Gives the memory that live objects hold: the JavaScript heap after a collection, and buffers outside of it. What the
 * runtime itself takes, and what the kernel keeps for sockets, is not in it.
 *
 * @returns Bytes.
 */
export function heldBytes(): number {
	// The first collection may only finish one that was under way; the last one sees everything that is free.
	for (let round = 0; round < 3; round++) {
		globalThis.gc?.();
	}

	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}
