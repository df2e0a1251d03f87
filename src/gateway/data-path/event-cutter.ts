/**
 * Cuts an event stream into whole events. An endpoint may stop in the middle of an event; what another endpoint continues
 * with starts at an event, so only whole events may have been passed on before.
 */
import {Buffer} from 'node:buffer';

/** Whole events, as bytes, and the id of the last one that had an id. */
export type WholeEvents = {
	bytes: Buffer;
	count: number;
	lastId: string | undefined;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

export class EventCutter {
	#held: Buffer = Buffer.alloc(0);
	#lastId: string | undefined;

	/** The id of the last whole event so far. */
	get lastId(): string | undefined {
		return this.#lastId;
	}

	/** Whether the stream stands behind a whole event. */
	get isAtBoundary(): boolean {
		return this.#held.length === 0;
	}

	/** Takes bytes; gives the whole events that they complete. */
	take(chunk: Buffer): WholeEvents {
		const bytes = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk]);
		const end = lastBoundaryOf(bytes);
		this.#held = bytes.subarray(end);
		const whole = bytes.subarray(0, end);
		const text = whole.toString('latin1');
		let count = 0;
		for (const event of text.split(/\r?\n\r?\n/v)) {
			count += event === '' ? 0 : 1;
			this.#lastId = /^id:[ ]?(?<id>.*)$/mv.exec(event)?.groups?.id?.trim() ?? this.#lastId;
		}

		return {bytes: whole, count, lastId: this.#lastId};
	}

	/** Gives, and forgets, what is held behind the last whole event. */
	rest(): Buffer {
		const rest = this.#held;
		this.#held = Buffer.alloc(0);
		return rest;
	}
}

/** The index behind the last empty line, or 0. */
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
