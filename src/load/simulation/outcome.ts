/** What became of one request of a run. */
import {type RefusalReason} from '../../shared/types.js';
import {type WorkloadRequest} from '../workload/generate-requests.js';

export type Outcome = {
	request: WorkloadRequest;
	/** From the caller's sending to the caller's first token. */
	firstTokenMilliseconds?: number;
	/** When the caller had the whole answer, in milliseconds since the start of the run. */
	endedAt?: number;
	refusal?: RefusalReason;
	ran?: 'not-run' | 'unknown';
	retryAfterMilliseconds?: number;
	refusedAt?: number;
	/** Where the time to the first token went. */
	admittedAt?: number;
	fetchMilliseconds: number;
	recomputedTokens: number;
	attempts: number;
	wholeAnswers: number;
};
