/**
 * Holds the newest events, and counts missing ones. Each start of a process numbers its events from 1 without gaps, so a gap
 * in the received numbers means that events were lost.
 */
import {type TimelineEvent} from '../observability/timeline-event.js';
import {type TimelineBatch} from '../observability/timeline-sender.js';
import {matchesFilter} from './matches-filter.js';
import {type EventFilter, type MissingEvents} from './timeline-messages.js';

/** How far the store may exceed its limit before it is trimmed, so that it is not copied for every batch. */
const slackShare = 0.1;
const maxProcessStarts = 10_000;

type ProcessStart = {
	instance: string;
	program: string;
	dropped: number;
	/** The number of received events, and the highest sequence number among them. */
	received: number;
	highest: number;
};

export class EventStore {
	readonly #limit: number;
	readonly #starts = new Map<string, ProcessStart>();
	#events: TimelineEvent[] = [];

	/** @param limit - The number of events that are retained. */
	constructor(limit: number) {
		this.#limit = limit;
	}

	/** Adds a batch of events from one process. */
	add(batch: TimelineBatch): void {
		this.#events.push(...batch.events);
		if (this.#events.length > this.#limit * (1 + slackShare)) {
			this.#events = this.#events.slice(-this.#limit);
		}

		for (const event of batch.events) {
			this.#count(event, batch);
		}
	}

	/** Returns the retained events that pass a filter, by time. Events of one process with equal times stay in its order. */
	events(filter: EventFilter = {}): TimelineEvent[] {
		return sortEvents(this.#events.filter(event => matchesFilter(event, filter)));
	}

	/** Returns the numbers of missing events for each process start that misses any. */
	missing(): MissingEvents[] {
		return [...this.#starts.values()]
			.map(({instance, program, dropped, received, highest}) => ({
				instance, program, dropped, lost: Math.max(0, highest - received - dropped),
			}))
			.filter(({dropped, lost}) => dropped > 0 || lost > 0);
	}

	#count({instance, program, sequence}: TimelineEvent, {start, dropped}: TimelineBatch): void {
		const key = `${instance} ${program} ${start}`;
		const known = this.#starts.get(key) ?? {
			instance, program, dropped: 0, received: 0, highest: 0,
		};
		this.#starts.set(key, {
			...known, dropped: Math.max(known.dropped, dropped), received: known.received + 1, highest: Math.max(known.highest, sequence),
		});
		if (this.#starts.size > maxProcessStarts) {
			const [oldest] = this.#starts.keys();
			this.#starts.delete(oldest!);
		}
	}
}

/**
 * Sorts events by time.
 *
 * @param events - Events of any processes; the array is not changed.
 * @returns The events sorted by time, and by sequence number where the times are equal.
 */
export function sortEvents(events: readonly TimelineEvent[]): TimelineEvent[] {
	return events.toSorted((left, right) => left.at - right.at || left.sequence - right.sequence);
}
