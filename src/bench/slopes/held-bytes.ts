import process from 'node:process';

/**
 * Returns the memory of live objects: the JavaScript heap after garbage collection, and buffers outside the heap. Memory of
 * the runtime itself and of the kernel's sockets isn't included. Needs `--expose-gc`.
 *
 * @returns Bytes.
 */
export function heldBytes(): number {
	// The first collection may only finish one that is already in progress; the last one frees everything unreachable.
	for (let round = 0; round < 3; round++) {
		globalThis.gc?.();
	}

	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}
