/**
 * The events of the timeline, which covers all processes. An event refers to its cause: a request and attempt, or a
 * configuration version.
 */

export type TimelineEventKind
	= | 'process-started'
		| 'process-draining'
		| 'process-stopped'
		| 'child-restarted'
		| 'event-loop-late'
		| 'table-unavailable'
		| 'table-available'
		| 'configuration-accepted'
		| 'configuration-in-force'
		| 'instance-seen'
		| 'instance-gone'
		| 'link-opened'
		| 'link-closed'
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

/** An event as recorded by a component; the sender adds the identity of the process. */
export type TimelineEntry = {
	kind: TimelineEventKind;
	/** Milliseconds since the epoch. */
	at: number;
	requestId?: string;
	attempt?: number;
	workspace?: string;
	endpoint?: string;
	configurationVersion?: number;
	/** A short text for operators, which never contains a prompt or a key. */
	detail?: string;
};

/** An event as collected. `sequence` counts the events since the start of the process, so that a gap shows lost events. */
export type TimelineEvent = TimelineEntry & {
	instance: string;
	dataCentre: string;
	program: string;
	sequence: number;
};

/** Records events from the components of a process. Recording never waits and never throws. */
export interface TimelineRecorder {
	record(entry: TimelineEntry): void;
}
