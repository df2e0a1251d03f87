/**
 * Rendezvous hashing: each key belongs to the member with the highest mixed hash, so every instance with the same view
 * names the same owner without asking anybody, and a member that goes gives away only its own keys.
 */

const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

/**
 * Hashes a text.
 *
 * @param text - Any text.
 * @returns A whole number of 32 bits.
 */
export function hashOfText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), prime);
	}

	return finalMix(hash);
}

/**
 * Gives the first members for a key, best first.
 *
 * @param key - The key's hash; see `hashOfText`.
 * @param members - The members, in any order.
 * @param count - How many are wanted.
 * @returns At most `count` members.
 */
export function bestMembers<Named extends {name: string; nameHash: number}>(key: number, members: readonly Named[], count: number): Named[] {
	return members
		.map(member => ({member, weight: finalMix(member.nameHash ^ key)}))
		.toSorted((left, right) => right.weight - left.weight || (left.member.name < right.member.name ? -1 : 1))
		.slice(0, count)
		.map(({member}) => member);
}

/**
 * Gives the owner of a key.
 *
 * @param key - The key's hash; see `hashOfText`.
 * @param members - The live members, in any order.
 * @returns The owner; `undefined` when there are no members.
 */
export function ownerOf<Named extends {name: string; nameHash: number}>(key: number, members: readonly Named[]): Named | undefined {
	let best: Named | undefined;
	let bestWeight = -1;
	for (const member of members) {
		const weight = finalMix(member.nameHash ^ key);
		if (weight > bestWeight || (weight === bestWeight && member.name < best!.name)) {
			best = member;
			bestWeight = weight;
		}
	}

	return best;
}

/** The final step of MurmurHash3: each bit of the input turns over half of the output's bits. */
function finalMix(value: number): number {
	let hash = value;
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
