/** `other`: the body is in a coding that was not removed, or whose end is not known; it is not the body that was sent. */
export type TransferCoding = 'none' | 'chunked' | 'other';

/**
 * Classifies the transfer codings of a message. Parsers remove `chunked` only, and pass a body in any other coding on as it is.
 *
 * @param value - The value of its `Transfer-Encoding` header; a list if there are several.
 */
export function transferCodingOf(value: string | readonly string[] | undefined): TransferCoding {
	if (value === undefined) {
		return 'none';
	}

	// HTTP allows only spaces and tabs around a value. `\s` also matches a no-break space, which is part of another coding's name.
	return /^[\t ]*chunked[\t ]*$/iv.test(String(value)) ? 'chunked' : 'other';
}
