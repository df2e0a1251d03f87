/**
 * Checks that the bytes of an answer begin as HTTP/1.0 or HTTP/1.1.
 *
 * Node's parser skips empty lines before an answer, accepts status lines of other protocols and of other versions of HTTP, and does not
 * tell which one it has read. Such bytes are no answer. They may follow an interim answer, so heads are read until the final one begins.
 */
import {type Buffer} from 'node:buffer';

/** `more`: not enough bytes have arrived; `too-long`: the interim answers exceed `maxInterimBytes`. */
export type AnswerStartResult = 'more' | 'valid' | 'invalid' | 'too-long';

/** Maximum length of all interim answers together; without it, they could go on until the request is given up. */
export const maxInterimBytes = 65_536;

const startLength = 'HTTP/1.1 200'.length;
const headEnd = '\r\n\r\n';

export class AnswerStart {
	/** The beginning of the present head, or the end of what has arrived of an interim one. */
	#text = '';
	#isWithinInterim = false;
	#interimBytes = 0;

	/**
	 * Appends the next bytes of the connection; to be called until the result is not `more`.
	 *
	 * @param bytes - Bytes in the order in which they arrived.
	 */
	push(bytes: Buffer): AnswerStartResult {
		if (this.#text === '' && !this.#isWithinInterim && isFinalStart(bytes)) {
			return 'valid';
		}

		this.#text += bytes.toString('latin1');
		for (;;) {
			if (this.#interimBytes > maxInterimBytes) {
				return 'too-long';
			}

			if (this.#isWithinInterim) {
				const end = this.#text.indexOf(headEnd);
				const passed = end === -1 ? Math.max(0, this.#text.length - headEnd.length) : end + headEnd.length;
				this.#interimBytes += passed;
				this.#text = this.#text.slice(passed);
				if (end === -1) {
					return this.#interimBytes > maxInterimBytes ? 'too-long' : 'more';
				}

				this.#isWithinInterim = false;
			}

			if (this.#text.length < startLength) {
				return 'HTTP/1.'.startsWith(this.#text.slice(0, 'HTTP/1.'.length)) ? 'more' : 'invalid';
			}

			const status = /^HTTP\/1\.[01] (?<status>\d{3})/v.exec(this.#text)?.groups?.status;
			if (status === undefined) {
				return 'invalid';
			}

			if (!status.startsWith('1')) {
				return 'valid';
			}

			this.#isWithinInterim = true;
		}
	}
}

/** Whether bytes begin with the status line of a final answer, as nearly all do. */
function isFinalStart(bytes: Buffer): boolean {
	return /^HTTP\/1\.[01] [02-9]\d\d/v.test(bytes.toString('latin1', 0, startLength));
}
