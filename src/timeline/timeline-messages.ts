/** What goes over the collector's TCP frames. A sender sends batches; a reader sends one query and gets replies. */
import {z} from 'zod';
import {type TimelineEvent} from '../observability/timeline-event.js';
import {type TimelineBatch} from '../observability/timeline-sender.js';

const longestTextCharacters = 300;
const mostEventsInBatch = 10_000;

const text = z.string().max(longestTextCharacters);
// The kind is any word: a process of the next release, side by side with this collector, may know more kinds.
const event = z.object({
	kind: text,
	at: z.number(),
	instance: text,
	dataCentre: text,
	program: text,
	sequence: z.number().int().positive(),
	requestId: text.optional(),
	attempt: z.number().int().optional(),
	workspace: text.optional(),
	endpoint: text.optional(),
	configurationVersion: z.number().int().optional(),
	detail: z.string().transform(detail => detail.slice(0, longestTextCharacters)).optional(),
});
const batch = z.object({
	events: z.array(event).max(mostEventsInBatch),
	start: z.number().default(0),
	dropped: z.number().int().nonnegative(),
});
const filter = z.object({
	request: text.optional(),
	workspace: text.optional(),
	endpoint: text.optional(),
	instance: text.optional(),
	dataCentre: text.optional(),
	kinds: z.array(text).max(100).optional(),
});
const query = z.object({query: filter, follow: z.boolean().default(false)});

/** Which events to give; an absent member lets all pass. */
export type EventFilter = {
	request?: string | undefined;
	workspace?: string | undefined;
	endpoint?: string | undefined;
	instance?: string | undefined;
	dataCentre?: string | undefined;
	kinds?: string[] | undefined;
};

/** The question of a reader. With `follow` the replies go on as events arrive. */
export type TimelineQuery = {
	query: EventFilter;
	follow: boolean;
};

/** One reply. */
export type TimelineReply = {
	events: TimelineEvent[];
	/** What the collector knows to be missing. */
	missing: MissingEvents[];
	/** Events that this follower was too slow for. */
	skipped: number;
	/** True once all kept events were given. */
	isComplete: boolean;
};

/** Events of one process start that never arrived. */
export type MissingEvents = {
	instance: string;
	program: string;
	/** Dropped by the process itself, because the collector was slow or gone. */
	dropped: number;
	/** Sent, but never received. */
	lost: number;
};

/** What a frame of a connection to the collector can be. */
export type TimelineMessage = {kind: 'batch'; batch: TimelineBatch} | {kind: 'query'; query: TimelineQuery};

/**
 * Checks a value that came out of a frame.
 *
 * @param value - Anything.
 * @returns The message; `undefined` for what is none.
 */
export function parseTimelineMessage(value: unknown): TimelineMessage | undefined {
	const asBatch = batch.safeParse(value);
	if (asBatch.success) {
		return {kind: 'batch', batch: asBatch.data as TimelineBatch};
	}

	const asQuery = query.safeParse(value);
	return asQuery.success ? {kind: 'query', query: asQuery.data} : undefined;
}

/**
 * Checks one event, for example a line of a saved file.
 *
 * @param value - Anything.
 * @returns The event; `undefined` for what is none.
 */
export function parseTimelineEvent(value: unknown): TimelineEvent | undefined {
	const parsed = event.safeParse(value);
	return parsed.success ? parsed.data as TimelineEvent : undefined;
}
