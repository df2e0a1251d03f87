/** Which headers belong to one connection only and are not passed on. */

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
 * Lists the headers of a message that concern only its connection.
 *
 * @param connection - The value of its `Connection` header, which may name further ones.
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
 * Copies a message's headers without those of its connection and without further ones.
 *
 * @param rawHeaders - Names and values by turns, as `node:http` gives them; order, case and repeats are kept.
 * @param connection - The value of the `Connection` header.
 * @param dropped - Further names in lower case that are left out.
 * @returns Names and values by turns.
 */
export function withoutHopByHop(rawHeaders: readonly string[], connection: string | undefined, dropped: ReadonlySet<string> = new Set()): string[] {
	const left = hopByHopNamesOf(connection);
	const kept: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!;
		const lower = name.toLowerCase();
		if (!left.has(lower) && !dropped.has(lower)) {
			kept.push(name, rawHeaders[index + 1]!);
		}
	}

	return kept;
}
