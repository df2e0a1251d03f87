import {maxSpread, spreadRetry} from '../limits/spread-retry.js';
import {type CrowdedService} from './service-demand.js';

/** A caller that returns sooner meets the same second of the burst. */
const minMilliseconds = 50;
/** Callers wait for `Retry-After` for up to this share of the time that they have left, and do not retry after a longer one. */
const maxShareOfRemaining = 1 / 3;
/**
 * Time whose excess is served before callers return: the interval at which instances learn of a change. With a second, fewer
 * of the callers who return are served in time.
 */
const excessMilliseconds = 300;
/** Part of the delay that all callers wait; the rest grows with the refused part of their workspace. */
const commonShare = 0.5;

export type ShareRetryInputs = Pick<CrowdedService, 'requestedPerSecond' | 'capacityPerSecond' | 'trendPerSecond'> & {
	/** The accepted part of the workspace's calls. */
	fraction: number;
	/** What the caller has left, in milliseconds. */
	remainingMilliseconds: number;
};

/**
 * Computes `Retry-After` of a call that is refused for its workspace's share: the time until the service is expected to have
 * capacity. While the demand falls, that is when it reaches the capacity; otherwise the time in which the service would serve
 * what is requested beyond its capacity, or beyond the workspace's ceiling, between two responses of the coordinator.
 *
 * @param inputs - The state of the service, and the caller's time.
 * @param attemptId - The refused attempt.
 * @returns Milliseconds: at least 50, and otherwise at most a third of the caller's time.
 */
export function shareRetryDelay({
	requestedPerSecond, capacityPerSecond, trendPerSecond, fraction, remainingMilliseconds,
}: ShareRetryInputs, attemptId: string): number {
	// A service of unknown capacity is not congested.
	const excess = capacityPerSecond > 0 ? Math.max(0, requestedPerSecond - capacityPerSecond) : 0;
	// Without an excess of the service, the workspace has exceeded its ceiling.
	const toServe = excessMilliseconds * (excess > 0 ? excess / capacityPerSecond : (1 - fraction) / fraction);
	const toFall = excess > 0 && trendPerSecond < 0 ? 1000 * excess / -trendPerSecond : Number.POSITIVE_INFINITY;
	const longest = Math.max(0, remainingMilliseconds) * maxShareOfRemaining / maxSpread;
	const delay = Math.min(toServe, toFall, longest) * (commonShare + ((1 - commonShare) * (1 - fraction)));
	return Math.max(minMilliseconds, spreadRetry(delay, attemptId));
}
