/**
 * Rendezvous hashing: each key belongs to the member with the highest combined hash. Instances with the same view of the
 * membership choose the same owner without communication, and the departure of a member moves only that member's keys.
 */

import {createHash} from 'node:crypto';

/**
 * Hashes a text.
 *
 * @param text - Any text.
 * @returns An unsigned integer of 32 bits.
 */
export function hashOfText(text: string): number {
	return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/**
 * Returns the members with the highest combined hashes for a key, highest first.
 *
 * @param key - The key's hash; see `hashOfText`.
 * @param members - The members, in any order.
 * @param count - The maximum number of members to return.
 * @returns At most `count` members.
 */
export function bestMembers<Named extends {name: string; nameHash: number}>(key: number, members: readonly Named[], count: number): Named[] {
	return members
		.map(member => ({member, weight: combinedHash(member.nameHash, key)}))
		.toSorted((left, right) => right.weight - left.weight || (left.member.name < right.member.name ? -1 : 1))
		.slice(0, count)
		.map(({member}) => member);
}

/**
 * Returns the owner of a key.
 *
 * @param key - The key's hash; see `hashOfText`.
 * @param members - The live members, in any order.
 * @returns The owner; `undefined` when there are no members.
 */
export function ownerOf<Named extends {name: string; nameHash: number}>(key: number, members: readonly Named[]): Named | undefined {
	let best: Named | undefined;
	let bestWeight = -1;
	for (const member of members) {
		const weight = combinedHash(member.nameHash, key);
		if (weight > bestWeight || (weight === bestWeight && member.name < best!.name)) {
			best = member;
			bestWeight = weight;
		}
	}

	return best;
}

/** The finalizer of MurmurHash3, applied to the sum: each bit of the input changes half of the output's bits on average. */
function combinedHash(nameHash: number, key: number): number {
	let hash = Math.imul(nameHash + key, 1);
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B); // eslint-disable-line no-bitwise -- the function is defined on bits
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35); // eslint-disable-line no-bitwise -- the function is defined on bits
	return (hash ^ (hash >>> 16)) >>> 0; // eslint-disable-line no-bitwise -- the function is defined on bits
}
