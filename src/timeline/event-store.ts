/**
 * Keeps the newest events, and counts those that are missing. Each process start numbers its events from 1 without
 * holes, so a hole in what arrived is a lost event.
 */
import {type TimelineEvent} from '../observability/timeline-event.js';
import {type TimelineBatch} from '../observability/timeline-sender.js';
import {matchesFilter} from './matches-filter.js';
import {type EventFilter, type MissingEvents} from './timeline-messages.js';

/** How far the store may grow over its limit before it is cut, so that it is not copied for every batch. */
const slackShare = 0.1;
const mostProcessStarts = 10_000;

type ProcessStart = {
	instance: string;
	program: string;
	dropped: number;
	/** Events that arrived, and the highest number among them. */
	received: number;
	highest: number;
};

export class EventStore {
	readonly #limit: number;
	readonly #starts = new Map<string, ProcessStart>();
	#events: TimelineEvent[] = [];

	/** @param limit - How many events are kept. */
	constructor(limit: number) {
		this.#limit = limit;
	}

	/** Takes a batch of one process. */
	take(batch: TimelineBatch): void {
		this.#events.push(...batch.events);
		if (this.#events.length > this.#limit * (1 + slackShare)) {
			this.#events = this.#events.slice(-this.#limit);
		}

		for (const event of batch.events) {
			this.#count(event, batch);
		}
	}

	/** The kept events that pass a filter, in order of time. Events of one process stay in its own order. */
	events(filter: EventFilter = {}): TimelineEvent[] {
		return orderEvents(this.#events.filter(event => matchesFilter(event, filter)));
	}

	/** What is missing, by process start; processes with nothing missing are left out. */
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
		if (this.#starts.size > mostProcessStarts) {
			const [oldest] = this.#starts.keys();
			this.#starts.delete(oldest!);
		}
	}
}

/**
 * Puts events in order of time.
 *
 * @param events - Events of any processes; the array is not changed.
 * @returns The events by time, and by sequence where the times are equal.
 */
export function orderEvents(events: readonly TimelineEvent[]): TimelineEvent[] {
	return events.toSorted((left, right) => left.at - right.at || left.sequence - right.sequence);
}
