/** The text by which instances name a cached part: its salt and its id. */

/** What names a part. */
export type PartName = {salt: string; id: string};

/** Gives the text for a part. */
export function partKey({salt, id}: PartName): string {
	return `${salt}|${id}`;
}

/** Gives the part that a text names. Ids hold no bar; salts may. */
export function partNamedBy(key: string): PartName {
	const separator = key.lastIndexOf('|');
	return {salt: key.slice(0, separator), id: key.slice(separator + 1)};
}
