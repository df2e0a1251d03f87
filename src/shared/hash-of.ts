/* eslint-disable no-bitwise -- mixing bits is what a hash does */
/** Evenly distributed 32-bit hashes of texts (FNV-1a with a final mix), which can be computed piece by piece. */

/** The state of a hash before any text. */
const initialState = 0x81_1C_9D_C5;

/**
 * Returns an evenly distributed 32-bit hash of a text (FNV-1a with a final mix). It is fast and not cryptographic: use it to
 * distribute load, not where two texts must not collide.
 *
 * @param text - The text.
 * @returns An integer from 0 to 2^32 - 1.
 */
export function hashOf(text: string): number {
	return finishHash(extendHash(initialState, text));
}

/**
 * Returns the state of a hash after a text, from which the hashes of texts that begin with it are computed without reading it again.
 *
 * @example `finishHash(extendHash(hashStateOf('a|'), 'b')) === hashOf('a|b')`
 */
export function hashStateOf(text: string): number {
	return extendHash(initialState, text);
}

/** Returns the state of a hash after a further piece of its text. */
export function extendHash(state: number, text: string): number {
	let hash = state;
	const {length} = text;
	for (let index = 0; index < length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- UTF-16 code units distribute well enough and are much faster here
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	return hash;
}

/** Returns the hash of the text that a state was computed from, an integer from 0 to 2^32 - 1. */
export function finishHash(state: number): number {
	let hash = Math.imul(state ^ (state >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
