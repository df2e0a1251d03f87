import {createHash} from 'node:crypto';

/**
 * Returns the SHA-256 digest of a text.
 *
 * @param text - The text, hashed as UTF-8.
 * @returns 64 hexadecimal digits.
 * @example
 * digestOf('').slice(0, 8); // 'e3b0c442'
 */
export function digestOf(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
