/** Names the phase of a request in which a late answer lost most of its time. */

/**
 * `query`: waiting for the coordinator; `attempts`: earlier attempts, and the pauses between them; `instance`: the rest of the
 * time before the last send; `endpoint`: from the last send to the answer.
 */
export type LatePhase = 'query' | 'attempts' | 'instance' | 'endpoint';

/** In milliseconds of the steady clock. */
export type RequestTimes = {
	arrivedAt: number;
	/** When the last attempt was sent. */
	sentAt: number;
	/** When the first byte of a stream, or the whole answer of a call, had arrived. */
	respondedAt: number;
	/** For how long the request has waited for the coordinator. */
	queriedMilliseconds: number;
	/** Number of endpoints that the request was sent to. */
	sends: number;
};

/** Returns the longest phase; of equally long ones the first in the order of `LatePhase`. */
export function longestPhase({arrivedAt, sentAt, respondedAt, queriedMilliseconds, sends}: RequestTimes): LatePhase {
	const unsentMilliseconds = sentAt - arrivedAt - queriedMilliseconds;
	const phases: Record<LatePhase, number> = {
		query: queriedMilliseconds,
		attempts: sends > 1 ? unsentMilliseconds : 0,
		instance: sends > 1 ? 0 : unsentMilliseconds,
		endpoint: respondedAt - sentAt,
	};
	const longest = Math.max(...Object.values(phases));
	return (Object.keys(phases) as LatePhase[]).find(phase => phases[phase] === longest)!;
}
