/**
 * Splits an event stream into complete events. An endpoint may stop within an event, and another endpoint that resumes the
 * stream starts with a new event, so only complete events may have been relayed before.
 */
import {Buffer} from 'node:buffer';

/** Complete events, as bytes, and the id of the last one that had an id. */
export type CompleteEvents = {
	bytes: Buffer;
	count: number;
	lastId: string | undefined;
};

/** More than any event of an engine; an endpoint that sends an event without an end would use up the memory of the process. */
const maxEventBytes = 262_144;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;

export class EventSplitter {
	#incomplete: Buffer = Buffer.alloc(0);
	#lastId: string | undefined;

	/** The id of the last complete event so far that had one. */
	get lastId(): string | undefined {
		return this.#lastId;
	}

	/** Whether the bytes after the last complete event are too many for one event. */
	get isTooLong(): boolean {
		return this.#incomplete.length > maxEventBytes;
	}

	/** Whether the bytes so far end with a complete event. */
	get isAtBoundary(): boolean {
		return this.#incomplete.length === 0;
	}

	/** Adds bytes; returns the events that they complete. */
	push(chunk: Buffer): CompleteEvents {
		const bytes = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk]);
		const end = lastBoundaryOf(bytes);
		this.#incomplete = bytes.subarray(end);
		const whole = bytes.subarray(0, end);
		const text = whole.toString('latin1');
		let count = 0;
		for (const event of text.split(/\r?\n\r?\n/v)) {
			count += event === '' ? 0 : 1;
			this.#lastId = /^id:[ ]?(?<id>.*)$/mv.exec(event)?.groups?.id?.trim() ?? this.#lastId;
		}

		return {bytes: whole, count, lastId: this.#lastId};
	}

	/** Returns and clears the bytes after the last complete event. */
	flush(): Buffer {
		const remainder = this.#incomplete;
		this.#incomplete = Buffer.alloc(0);
		return remainder;
	}
}

/** The index after the last empty line, or 0. */
function lastBoundaryOf(bytes: Buffer): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
		if (before >= 0 && bytes[before] === lineFeed) {
			return index + 1;
		}
	}

	return 0;
}
