/**
 * Keys of kept cache pieces. A key is a keyed digest over workspace, model, weight version and the whole prompt up to
 * the end of the piece: nothing can be looked up by content alone, so one workspace never meets another's cache, and a
 * piece built under another weight version has another key.
 */
import {createHmac} from 'node:crypto';

/** Characters of a prompt in one piece: about 2,048 tokens at 4 characters a token. */
export const pieceCharacters = 8192;

/** Characters in one token, as an estimate; only the engine counts exactly. */
export const charactersPerToken = 4;

/** What a prompt's pieces belong to. */
export type PieceOwner = {
	/** The workspace's salt; see `cacheSaltOf`. */
	salt: string;
	model: string;
	weightVersion: string;
};

/**
 * Gives the cache salt of a workspace.
 *
 * @param secret - The secret that all instances share.
 * @param workspace - The workspace's name.
 * @returns 64 hexadecimal digits.
 */
export function cacheSaltOf(secret: string, workspace: string): string {
	return createHmac('sha256', secret).update(`workspace:${workspace}`).digest('hex');
}

/**
 * Gives the keys of the whole pieces of a prompt, first piece first.
 *
 * @param owner - What the pieces belong to.
 * @param prompt - The whole prompt as one text.
 * @returns A key per whole piece; each depends on all pieces before it. A last piece that is not whole has none.
 */
export function pieceKeysOf(owner: PieceOwner, prompt: string): string[] {
	const pieces = Math.floor(prompt.length / pieceCharacters);
	const keys: string[] = [];
	let previous = `${owner.model}|${owner.weightVersion}`;
	for (let index = 0; index < pieces; index++) {
		const text = prompt.slice(index * pieceCharacters, (index + 1) * pieceCharacters);
		previous = createHmac('sha256', owner.salt).update(previous).update('|').update(text).digest('hex');
		keys.push(previous);
	}

	return keys;
}
