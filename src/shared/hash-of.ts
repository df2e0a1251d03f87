/* eslint-disable no-bitwise -- mixing bits is what a hash does */
/**
 * Gives a 32-bit number that is spread evenly over texts (FNV-1a with a final mix). It is fast and not secret: it spreads
 * load, and names nothing that has to be kept apart.
 *
 * @param text - Any text.
 * @returns A whole number from 0 up to, and without, 2 to the 32nd.
 */
export function hashOf(text: string): number {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- UTF-16 units are enough for spreading, and much faster here
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
