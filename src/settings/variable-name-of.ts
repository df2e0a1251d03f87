/**
 * Gives the environment variable of a flag.
 *
 * @param flag - The flag without its dashes.
 * @returns For example `SAVORYGAUGE_TABLE_ADDRESS` for `table-address`.
 */
export function variableNameOf(flag: string): string {
	return `SAVORYGAUGE_${flag.replaceAll('-', '_').toUpperCase()}`;
}
