/** How long the caller of a stream waits for its next event, by what the operators declare for its route. */
import {type Route} from '../../shared/routed-configuration.js';

/** Callers wait at least this long, whatever the objectives are. */
const minTimeoutMilliseconds = 2000;
const timeoutInObjectives = 4;
const timeoutInEventGaps = 8;

/**
 * Returns the time after which the caller of a stream that has got no event gives up.
 *
 * @param route - The objectives of its route.
 * @returns Milliseconds since the last event, or since the request if there was none.
 */
export function eventTimeoutMilliseconds({objectiveMilliseconds, maxEventGapMilliseconds}: Pick<Route, 'objectiveMilliseconds' | 'maxEventGapMilliseconds'>): number {
	return Math.max(minTimeoutMilliseconds, timeoutInObjectives * objectiveMilliseconds, timeoutInEventGaps * maxEventGapMilliseconds);
}
