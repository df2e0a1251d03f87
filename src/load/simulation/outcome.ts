/** The outcome of one request of a run: its answer or refusal, and where its time went. */
import {type RefusalReason} from '../../shared/types.js';
import {type WorkloadRequest} from '../workload/generate-requests.js';

export type Outcome = {
	request: WorkloadRequest;
	/** From the moment the caller sends the request until it receives the first token. */
	firstTokenMilliseconds?: number;
	/** When the caller had received the whole answer, in milliseconds since the start of the run. */
	endedAt?: number;
	refusal?: RefusalReason;
	ran?: 'not-run' | 'unknown';
	retryAfterMilliseconds?: number;
	refusedAt?: number;
	/** When the entry admitted the request, in milliseconds since the start of the run. */
	admittedAt?: number;
	fetchMilliseconds: number;
	recomputedTokens: number;
	attempts: number;
	wholeAnswers: number;
};
