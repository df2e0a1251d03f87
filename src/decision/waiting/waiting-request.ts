/** Types of the queue of requests that wait for room. All times are milliseconds of the steady clock. */

/** A request for which no endpoint has room. */
export type WaitingRequest = {
	id: string;
	/** Requests of one lane can be served by the same endpoints; the order and the estimates of a lane are its own. */
	lane: string;
	service: string;
	isPrompt: boolean;
	/** 0 is the most urgent. */
	rank: number;
	workspace: string;
	/** What it takes of the service: tokens for a prompt, 1 for a plain call. */
	work: number;
	/** Memory that it holds while it waits. */
	bytes: number;
	objectiveMilliseconds: number;
	/** Until when its answer, or the first event of it, meets the objective. */
	objectiveAt: number;
	/** When it times out. */
	deadlineAt: number;
	/** Whether its service is congested and its workspace's share has accepted it, so that others are refused in its place. */
	isAssured?: boolean;
};

/** A request in the queue. */
export type QueuedRequest = WaitingRequest & {
	since: number;
	/** When it is dropped unless it was admitted. */
	until: number;
};

/** What is known of the wait of a request. */
export type WaitOutlook = {
	/** Number of queued requests of the lane that go before it, by rank. */
	aheadByRank: Readonly<Record<number, number>>;
	/** The workspace with the most requests among these; absent where none is ahead. */
	mostAhead: string | undefined;
	/** `undefined` while too few admissions were observed. */
	estimateMilliseconds: number | undefined;
	/** Time since the observations that the estimate rests on; `undefined` without any. */
	ageMilliseconds: number | undefined;
};

/** Whether a request is queued. `displaced` are those that lost their place in the full queue to it. */
export type WaitDecision
	= | {kind: 'wait'; outlook: WaitOutlook; displaced: readonly QueuedRequest[]}
		| {kind: 'refuse'; outlook: WaitOutlook};
