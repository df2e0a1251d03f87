/** How an engine of a check reports that it caches no blocks. */
import {type JsonValue} from '../shared/types.js';

/** The path at which engines report which blocks they cache. */
export const blockEventsPath = '/kv-events';
/** The header that says how long a report may be waited for, in milliseconds. */
export const blockEventsWaitHeader = 'wait-ms';

/** The report of an engine that caches nothing. */
export const emptyBlockEvents: JsonValue = {
	boot_epoch: 1, next: 0, lost: false, events: [],
};
