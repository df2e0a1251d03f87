/**
 * Returns the name of the environment variable for a flag.
 *
 * @param flag - The flag without its dashes.
 * @returns For example `SAVORYGAUGE_TABLE_ADDRESS` for `table-address`.
 */
export function variableNameOf(flag: string): string {
	return `SAVORYGAUGE_${flag.replaceAll('-', '_').toUpperCase()}`;
}
