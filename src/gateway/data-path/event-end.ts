/**
 * Whether an event stream stopped behind a whole event.
 *
 * An event ends with an empty line. A stream that has no length and no chunks ends with its connection, and a process that
 * dies closes its connections in order: the only thing that then tells a broken stream from a whole one is that its last
 * event lacks its empty line. A stream that broke off between two events cannot be told from a whole one by its bytes.
 */
import {Buffer} from 'node:buffer';

/** An empty line may be written by two line feeds, by two carriage returns or by two pairs of both. */
const longestEventEnd = 4;

export class EventEnd {
	#tail = Buffer.alloc(0);

	/** Whether the bytes so far end in the middle of an event; no bytes at all do not. */
	get isTorn(): boolean {
		const text = this.#tail.toString('latin1');
		return text !== '' && !/(?:\n\r?\n|\r\r)$/v.test(text);
	}

	/** Takes bytes as they come. */
	take(chunk: Buffer): void {
		this.#tail = Buffer.concat([this.#tail, chunk.subarray(-longestEventEnd)]).subarray(-longestEventEnd);
	}
}
