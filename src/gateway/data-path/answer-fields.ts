/**
 * Checks the fields in the heads of an answer, interim ones among them, as their bytes arrive.
 *
 * What Node's parser accepts as a name depends on its release. A blank makes another field of a length or of a proof, and a name that is
 * no token cannot be forwarded. Interim answers reach no listener of the request.
 */
import {type Buffer} from 'node:buffer';
import {isFieldName} from '../../shared/is-field-name.js';

/** `more`: the final head is not complete. */
export type AnswerFieldsResult = 'more' | 'valid' | 'invalid';

/** A whole head of a final answer, as nearly all arrive in one piece. */
const finalHead = /^HTTP\/1\.[01] [2-5]\d\d[^\r\n]*\r\n(?:[!#$%\u0026'*+\-.^_`\|~0-9A-Za-z]+:[^\r\n]*\r\n)*\r\n/v;
/** Heads of interest are shorter; a longer one is read line by line. */
const usualHeadBytes = 2048;

export class AnswerFields {
	/** The beginning of the present line. */
	#line = '';
	#isStatusLine = true;
	#isInterim = false;
	#hasBegun = false;

	/**
	 * Appends the next bytes of the connection; to be called until the result is not `more`.
	 *
	 * @param bytes - Bytes in the order in which they arrived.
	 */
	push(bytes: Buffer): AnswerFieldsResult {
		if (!this.#hasBegun && finalHead.test(bytes.toString('latin1', 0, usualHeadBytes))) {
			return 'valid';
		}

		this.#hasBegun = true;
		let start = 0;
		for (let end = bytes.indexOf('\n'); end !== -1; end = bytes.indexOf('\n', start)) {
			const line = this.#line + bytes.toString('latin1', start, end);
			start = end + 1;
			this.#line = '';
			const result = this.#noteLine(line.endsWith('\r') ? line.slice(0, -1) : line);
			if (result !== 'more') {
				return result;
			}
		}

		this.#line += bytes.toString('latin1', start);
		return 'more';
	}

	#noteLine(line: string): AnswerFieldsResult {
		if (this.#isStatusLine) {
			this.#isStatusLine = false;
			this.#isInterim = /^HTTP\/1\.[01] 1/v.test(line);
			return 'more';
		}

		if (line === '') {
			this.#isStatusLine = true;
			return this.#isInterim ? 'more' : 'valid';
		}

		const colon = line.indexOf(':');
		return colon !== -1 && isFieldName(line.slice(0, colon)) ? 'more' : 'invalid';
	}
}
