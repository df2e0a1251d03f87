/** The messages in the collector's TCP frames. A sender sends batches; a reader sends one query and receives replies. */
import {z} from 'zod';
import {type TimelineEvent} from '../observability/timeline-event.js';
import {type TimelineBatch} from '../observability/timeline-sender.js';

const maxTextCharacters = 300;
const maxEventsInBatch = 10_000;

const text = z.string().max(maxTextCharacters);
// Any kind is accepted: during an upgrade, processes of the next release may send kinds that this collector does not know.
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
	detail: z.string().transform(detail => detail.slice(0, maxTextCharacters)).optional(),
});
const batch = z.object({
	events: z.array(event).max(maxEventsInBatch),
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

/** Which events to return; an absent member lets every event pass. */
export type EventFilter = {
	request?: string | undefined;
	workspace?: string | undefined;
	endpoint?: string | undefined;
	instance?: string | undefined;
	dataCentre?: string | undefined;
	kinds?: string[] | undefined;
};

/** The query of a reader. With `follow`, further replies are sent as events arrive. */
export type TimelineQuery = {
	query: EventFilter;
	follow: boolean;
};

/** One of the replies to a query. */
export type TimelineReply = {
	events: TimelineEvent[];
	/** Events that the collector knows to be missing. */
	missing: MissingEvents[];
	/** Number of events that were skipped because this follower was too slow. */
	skipped: number;
	/** True once all retained events have been sent. */
	isComplete: boolean;
};

/** Numbers of events of one process start that never arrived. */
export type MissingEvents = {
	instance: string;
	program: string;
	/** Dropped by the process itself, because the collector was slow or unreachable. */
	dropped: number;
	/** Sent by the process, but never received. */
	lost: number;
};

/** A message in a frame to the collector. */
export type TimelineMessage = {kind: 'batch'; batch: TimelineBatch} | {kind: 'query'; query: TimelineQuery};

/**
 * Validates the content of a frame to the collector.
 *
 * @param value - The decoded value.
 * @returns The message; `undefined` if the value is not a valid message.
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
 * Validates one event, for example from a line of a saved file.
 *
 * @param value - The decoded value.
 * @returns The event; `undefined` if the value is not a valid event.
 */
export function parseTimelineEvent(value: unknown): TimelineEvent | undefined {
	const parsed = event.safeParse(value);
	return parsed.success ? parsed.data as TimelineEvent : undefined;
}
