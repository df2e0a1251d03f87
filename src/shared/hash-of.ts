/* eslint-disable no-bitwise -- mixing bits is what a hash does */
/**
 * Returns an evenly distributed 32-bit hash of a text (FNV-1a with a final mix). It is fast and not cryptographic: use it to
 * distribute load, not where two texts must not collide.
 *
 * @param text - The text.
 * @returns An integer from 0 to 2^32 - 1.
 */
export function hashOf(text: string): number {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- UTF-16 code units distribute well enough and are much faster here
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
