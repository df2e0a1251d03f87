/**
 * Decides how long a connection to an endpoint is kept idle.
 *
 * An endpoint closes idle connections after a timeout, by its own clock. One that has stopped for a second or two goes on with its
 * timers, so it closes a connection whose timeout has passed meanwhile before it reads the request on it, and nobody can tell whether
 * it has read it.
 */

/** A round trip, a late timer and a slow instance. */
const marginMilliseconds = 800;
/** How long a sound endpoint may stop; where its timeout is short, a connection is kept for half of it all the same. */
const stopMilliseconds = 2000;
const minShare = 0.5;
/** Idle timeout where an endpoint states none: its timeout may be anything, so only quick reuse is safe. */
const unstatedMilliseconds = 700;
/** Longest idle time, whatever the endpoint allows; an idle connection costs both sides memory. */
const maxMilliseconds = 10_000;

/**
 * Returns the idle time in milliseconds; 0 or less if the connection is not to be kept.
 *
 * @param statedMilliseconds - The timeout that the endpoint states; `undefined` if it states none.
 */
export function idleTimeoutMilliseconds(statedMilliseconds?: number): number {
	if (statedMilliseconds === undefined) {
		return unstatedMilliseconds;
	}

	const latest = statedMilliseconds - marginMilliseconds;
	return Math.min(maxMilliseconds, latest, Math.max(latest - stopMilliseconds, minShare * statedMilliseconds));
}
