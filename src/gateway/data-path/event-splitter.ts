/**
 * Splits an event stream into complete events. An endpoint may stop within an event, and another endpoint that resumes the
 * stream starts with a new event, so only complete events may have been relayed before.
 */
import {Buffer} from 'node:buffer';
import {BodyPieces} from '../../serving/body-pieces.js';

/** Complete events, as bytes, and the id of the last one that had an id. */
export type CompleteEvents = {
	bytes: Buffer;
	count: number;
	lastId: string | undefined;
};

/** A longer event ends the answer: an endpoint that sends one without an end would use up the memory of the process. */
const maxEventBytes = 16_777_216;
/** An event's end may begin with the last bytes of one chunk and end with the first one of the next. */
const maxSplitEndBytes = 3;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const noBytes = Buffer.alloc(0);

export class EventSplitter {
	/** The bytes after the last complete event; `undefined` while there are none. */
	#incomplete: BodyPieces | undefined;
	#tail: Buffer = noBytes;
	#lastId: string | undefined;

	/** The id of the last complete event so far that had one. */
	get lastId(): string | undefined {
		return this.#lastId;
	}

	/** Whether the bytes after the last complete event are too many for one event. */
	get isTooLong(): boolean {
		return this.incompleteBytes > maxEventBytes;
	}

	/** The number of bytes after the last complete event, which are held until the event is complete. */
	get incompleteBytes(): number {
		return this.#incomplete?.length ?? 0;
	}

	/** Whether the bytes so far end with a complete event. */
	get isAtBoundary(): boolean {
		return this.incompleteBytes === 0;
	}

	/** Adds bytes; returns the events that they complete. Takes time in proportion to the chunk and to the events that it completes. */
	push(chunk: Buffer): CompleteEvents {
		const searched = this.#tail.length === 0 ? chunk : Buffer.concat([this.#tail, chunk]);
		const end = lastBoundaryOf(searched);
		if (end === 0) {
			this.#keep(chunk, searched);
			return {bytes: noBytes, count: 0, lastId: this.#lastId};
		}

		// Most chunks consist of complete events, and are passed on without a copy.
		const isWhole = end === searched.length;
		const completing = isWhole ? chunk : chunk.subarray(0, chunk.length - (searched.length - end));
		const whole = this.#complete(completing);
		if (!isWhole) {
			const rest = searched.subarray(end);
			this.#keep(rest, rest);
		}

		const events = eventsOf(whole.toString('latin1'));
		let count = 0;
		for (const event of events) {
			count += event === '' ? 0 : 1;
			this.#lastId = idOf(event) ?? this.#lastId;
		}

		return {bytes: whole, count, lastId: this.#lastId};
	}

	/** Returns and clears the bytes after the last complete event. */
	flush(): Buffer {
		return this.#complete(noBytes);
	}

	/** Returns and clears the bytes after the last complete event, followed by further ones. */
	#complete(last: Buffer): Buffer {
		const incomplete = this.#incomplete;
		this.#incomplete = undefined;
		this.#tail = noBytes;
		if (incomplete === undefined) {
			return last;
		}

		incomplete.push(last);
		return incomplete.toBuffer();
	}

	#keep(bytes: Buffer, searched: Buffer): void {
		this.#incomplete ??= new BodyPieces();
		this.#incomplete.push(bytes);
		this.#tail = searched.subarray(-maxSplitEndBytes);
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

/**
 * The events of a text, without the empty lines between them. Nearly all streams have line feeds only, and are split without
 * regular expressions, which are slow in a process that has just started.
 */
function eventsOf(text: string): string[] {
	return text.includes('\r') ? text.split(/\r?\n\r?\n/v) : text.split('\n\n');
}

/** The id of an event; `undefined` for one without. */
function idOf(event: string): string | undefined {
	if (event.includes('\r')) {
		return /^id:(?<id>.*)$/mv.exec(event)?.groups?.id?.trim();
	}

	const before = event.startsWith('id:') ? -1 : event.indexOf('\nid:');
	if (before === -1 && !event.startsWith('id:')) {
		return undefined;
	}

	const start = before + '\nid:'.length;
	const end = event.indexOf('\n', start);
	return event.slice(start, end === -1 ? undefined : end).trim();
}
