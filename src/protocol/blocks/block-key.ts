/** Text keys of cache blocks, made of a block's salt and id. */

/** Identifies a block. */
export type BlockName = {salt: string; id: string};

/** Returns the key of a block. */
export function blockKey({salt, id}: BlockName): string {
	return `${salt}|${id}`;
}

/** Returns the block that a key names. Ids contain no `|`; salts may. */
export function parseBlockKey(key: string): BlockName {
	const separator = key.lastIndexOf('|');
	return {salt: key.slice(0, separator), id: key.slice(separator + 1)};
}
