/** Why this process ended an attempt, and how the log tells it. */
import {type CancelReason} from './attempt-watch.js';

/**
 * Why the request ended an attempt.
 *
 * - `not-needed`: the caller disconnected, or the timeout passed.
 * - `replaced`: the endpoint was silent, and another one has answered.
 * - `superseded`: the attempt was to replace a silent one, which went on.
 */
export type EndReason = 'not-needed' | 'replaced' | 'superseded';

/** The `detail` that the log shows for an attempt that this process ended. */
export const endDetails: Record<CancelReason | EndReason, string> = {
	abandoned: 'the endpoint was silent for longer than callers wait',
	'older-weights': 'cancelled before it began: the grant of older weights ended',
	'not-needed': 'cancelled: the caller disconnected or the timeout passed',
	replaced: 'the endpoint became unresponsive',
	superseded: 'cancelled: the endpoint that had been silent went on',
};
