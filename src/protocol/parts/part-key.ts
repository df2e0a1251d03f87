/** Text keys of cache blocks, made of a block's salt and id. */

/** Identifies a block. */
export type PartName = {salt: string; id: string};

/** Returns the key of a block. */
export function partKey({salt, id}: PartName): string {
	return `${salt}|${id}`;
}

/** Returns the block that a key names. Ids contain no `|`; salts may. */
export function partNamedBy(key: string): PartName {
	const separator = key.lastIndexOf('|');
	return {salt: key.slice(0, separator), id: key.slice(separator + 1)};
}
