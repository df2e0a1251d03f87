/**
 * The events that make up the time line over all processes. An event names its cause: the request and attempt, or the
 * configuration version, that brought it about.
 */

/** What happened. */
export type TimelineEventKind
	= | 'process-started'
		| 'process-draining'
		| 'process-stopped'
		| 'child-restarted'
		| 'configuration-accepted'
		| 'configuration-in-force'
		| 'instance-seen'
		| 'instance-gone'
		| 'endpoint-leaving'
		| 'shard-taken'
		| 'shard-released'
		| 'request-arrived'
		| 'request-waiting'
		| 'request-admitted'
		| 'request-refused'
		| 'attempt-sent'
		| 'attempt-failed'
		| 'first-token'
		| 'request-finished'
		| 'request-cancelled'
		| 'claim-written'
		| 'claim-answered'
		| 'order-sent'
		| 'order-refused'
		| 'piece-written'
		| 'piece-read'
		| 'operator-act';

/** What the reporter of an event says; the process adds who it is. */
export type TimelineEntry = {
	kind: TimelineEventKind;
	/** Milliseconds since the epoch. */
	at: number;
	requestId?: string;
	attempt?: number;
	workspace?: string;
	endpoint?: string;
	configurationVersion?: number;
	/** A short text for people; never a prompt or a key. */
	detail?: string;
};

/** An event as collected. `sequence` counts the events of one process start, so that a hole shows lost ones. */
export type TimelineEvent = TimelineEntry & {
	instance: string;
	dataCentre: string;
	program: string;
	sequence: number;
};

/** Where the parts of a process record events. Recording never waits and never throws. */
export interface TimelineRecorder {
	record(entry: TimelineEntry): void;
}
