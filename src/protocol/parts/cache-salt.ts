/** The text under which engines and stores find parts: who shares them, and the weights that they were made under. */

/**
 * Makes a salt.
 *
 * @param scope - Who shares the parts.
 * @param version - The version of the weights.
 */
export function cacheSalt(scope: string, version: number): string {
	return `${scope}-w${version}`;
}

/** The version of the weights that a salt names; `undefined` for a text that is none of ours. */
export function versionOfSalt(salt: string): number | undefined {
	const digits = /-w(?<digits>\d+)$/v.exec(salt)?.groups?.digits;
	return digits === undefined ? undefined : Number(digits);
}
