/** Checks the name of an HTTP field. Some releases of Node's parser accept names with blanks, and empty ones. */

const token = /^[!#$%\u0026'*+\-.^_`\|~0-9A-Za-z]+$/v;

/**
 * Returns whether a text is a token, as the name of a field must be (RFC 9110, section 5.1).
 *
 * @param name - The text before the colon of a field.
 */
export function isFieldName(name: string): boolean {
	return token.test(name);
}
