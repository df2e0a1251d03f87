/** Cache salts. Engines and stores find blocks by salt, which names the scope that shares them and their weight version. */

/**
 * Creates a salt.
 *
 * @param scope - The scope that shares the blocks, such as a workspace.
 * @param version - The weight version.
 */
export function cacheSalt(scope: string, version: number): string {
	return `${scope}-w${version}`;
}

/** Returns the weight version in a salt; `undefined` for a text without one. */
export function versionOfSalt(salt: string): number | undefined {
	const digits = /-w(?<digits>\d+)$/v.exec(salt)?.groups?.digits;
	return digits === undefined ? undefined : Number(digits);
}
