/** Hop-by-hop headers, which belong to one connection and are not forwarded. */

const hopByHopNames: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

/**
 * Lists the hop-by-hop headers of a message.
 *
 * @param connection - The value of its `Connection` header, which may name additional ones.
 * @returns The names in lower case.
 */
export function hopByHopNamesOf(connection: string | undefined): ReadonlySet<string> {
	if (connection === undefined || /^(?:close|keep-alive)$/iv.test(connection)) {
		return hopByHopNames;
	}

	const named = connection.split(',').map(name => name.trim().toLowerCase());
	return new Set([...hopByHopNames, ...named]);
}

/**
 * Copies the headers of a message without its hop-by-hop headers and without some others.
 *
 * @param rawHeaders - Alternating names and values from `node:http`; order, case and duplicates are preserved.
 * @param connection - The value of the `Connection` header.
 * @param dropped - Names, in lower case, of other headers to drop.
 * @returns Alternating names and values.
 */
export function withoutHopByHop(rawHeaders: readonly string[], connection: string | undefined, dropped: ReadonlySet<string> = new Set()): string[] {
	const hopByHop = hopByHopNamesOf(connection);
	const forwarded: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!;
		const lower = name.toLowerCase();
		if (!hopByHop.has(lower) && !dropped.has(lower)) {
			forwarded.push(name, rawHeaders[index + 1]!);
		}
	}

	return forwarded;
}
