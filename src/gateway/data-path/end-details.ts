/** How the log describes that this process ended an attempt. */
import {type AttemptEnd} from '../../decision/attempts/attempt-end.js';

/** The `detail` of the log line, by the reason. */
export const endDetails: Record<AttemptEnd, string> = {
	'process-ended': 'the endpoint was silent, and another process has its name or address',
	'older-weights': 'cancelled before it began: the grant of older weights ended',
	'not-needed': 'cancelled: the caller disconnected or the timeout passed',
	replaced: 'the endpoint became unresponsive',
	superseded: 'cancelled: the endpoint that had been silent went on',
};
