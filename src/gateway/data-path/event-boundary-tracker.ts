/**
 * Determines whether an event stream stopped after a complete event.
 *
 * An event ends with an empty line. A stream with neither a length nor chunks ends with its connection, and the connections
 * of a process that dies are closed in order. Only the missing empty line after its last event then shows that the stream is
 * incomplete. A stream that stopped between two events cannot be told from a complete one by its bytes.
 */
import {Buffer} from 'node:buffer';

/** The end of an event is two line feeds, two carriage returns, or two pairs of carriage return and line feed. */
const maxEventEndBytes = 4;

export class EventBoundaryTracker {
	/** The last bytes; whole chunks, so that most need no copy. */
	#tail: Buffer = Buffer.alloc(0);

	/** Whether the bytes so far end within an event; false if there are none. */
	get stopsWithinEvent(): boolean {
		const text = this.#tail.subarray(-maxEventEndBytes).toString('latin1');
		return text !== '' && !/(?:\n\r?\n|\r\r)$/v.test(text);
	}

	/** Adds bytes in the order of their arrival. */
	push(chunk: Buffer): void {
		this.#tail = chunk.length >= maxEventEndBytes ? chunk : Buffer.concat([this.#tail.subarray(-maxEventEndBytes), chunk]);
	}
}
