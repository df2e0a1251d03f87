/** What log lines say of a request that takes a stream up. */
import {type DecisionFields} from '../observability/decision-log.js';
import {type RequestHead} from './request-head.js';

/** What a line holds of an event id, which the caller chooses. */
const maxEventIdLength = 64;

/** Returns the event after which the stream is taken up, and the attempt that the caller names; nothing for other requests. */
export function resumptionFields({lastEventId, resumes}: Partial<Pick<RequestHead, 'lastEventId' | 'resumes'>>): DecisionFields {
	return lastEventId === undefined ? {} : {lastEventId: lastEventId.slice(0, maxEventIdLength), resumes};
}
