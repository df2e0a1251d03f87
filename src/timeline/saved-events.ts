/** Saves events to a file and reads them back, one JSON object on each line. */
import {createReadStream, createWriteStream, type WriteStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {type TimelineEvent} from '../observability/timeline-event.js';
import {matchesFilter} from './matches-filter.js';
import {type EventFilter, parseTimelineEvent} from './timeline-messages.js';

const maxBufferedBytes = 16_777_216;
const maxEventsRead = 1_000_000;

/** Appends events to a file. If the disk is too slow or full, events are dropped and counted instead of using up memory. */
export class EventSaver {
	readonly #stream: WriteStream;
	#notSaved = 0;

	/**
	 * @param path - The file; events are appended to it.
	 * @param onError - Called when the file cannot be written.
	 */
	constructor(path: string, onError: (error: Error) => void) {
		this.#stream = createWriteStream(path, {flags: 'a'});
		this.#stream.on('error', onError);
	}

	/** The number of events that could not be saved. */
	get notSaved(): number {
		return this.#notSaved;
	}

	save(events: readonly TimelineEvent[]): void {
		if (this.#stream.destroyed || this.#stream.writableLength > maxBufferedBytes) {
			this.#notSaved += events.length;
			return;
		}

		this.#stream.write(events.map(event => `${JSON.stringify(event)}\n`).join(''));
	}

	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#stream.end(resolve);
		});
	}
}

/** The content of a saved file. */
export type SavedEvents = {
	events: TimelineEvent[];
	/** Numbers of the lines that are not events, for example of one that was cut off. */
	badLines: number[];
};

/**
 * Reads a saved file.
 *
 * @param path - The file.
 * @param filter - Which events to return.
 * @returns At most a million events that pass the filter.
 * @throws The error of the file system if the file cannot be read.
 */
export async function readSavedEvents(path: string, filter: EventFilter): Promise<SavedEvents> {
	const saved: SavedEvents = {events: [], badLines: []};
	let number = 0;
	for await (const line of createInterface({input: createReadStream(path)})) {
		number++;
		const event = line === '' ? undefined : parseTimelineEvent(parseJson(line));
		if (event === undefined) {
			saved.badLines.push(number);
		} else if (matchesFilter(event, filter) && saved.events.length < maxEventsRead) {
			saved.events.push(event);
		}
	}

	return saved;
}

function parseJson(line: string): unknown {
	try {
		return JSON.parse(line) as unknown;
	} catch {
		return undefined;
	}
}
