/** Ends a routed request that gets no complete answer: sends a typed refusal, or aborts an answer that has begun. */
import {type ServerResponse} from 'node:http';
import {abortAnswer} from '../../serving/abort-answer.js';
import {type Refusal} from '../../shared/types.js';
import {type Refuse} from './refuse.js';
import {type RequestOutcome} from './report-end.js';

export class FailureResponder {
	/** Status of the last refusal; `undefined` if none was sent. */
	status: number | undefined;
	readonly #response: ServerResponse;
	readonly #refuse: Refuse;

	constructor(response: ServerResponse, refuse: Refuse) {
		this.#response = response;
		this.#refuse = refuse;
	}

	/**
	 * Ends a request that no endpoint serves.
	 *
	 * @param refusal - Sent if the request cannot have run.
	 * @param mayHaveRun - Whether an attempt may have run.
	 */
	fail(refusal: Refusal, mayHaveRun: boolean): RequestOutcome {
		if (this.#response.headersSent) {
			abortAnswer(this.#response);
			return 'broken-off';
		}

		if (mayHaveRun) {
			this.#write({reason: 'outcome-unknown', ran: 'unknown', message: 'the request was sent and its answer was lost'});
			return 'failed';
		}

		this.#write(refusal);
		return 'refused';
	}

	/**
	 * Ends a request whose deadline has passed.
	 *
	 * @param mayHaveRun - Whether an attempt may have run.
	 */
	expire(mayHaveRun: boolean): RequestOutcome {
		if (this.#response.headersSent) {
			abortAnswer(this.#response);
		} else if (mayHaveRun) {
			this.#write({reason: 'timeout', ran: 'unknown', message: 'the request was not answered in time'});
		} else {
			this.#write({reason: 'deadline', ran: 'not-run', message: 'the deadline of the request passed before an endpoint accepted it'});
		}

		return 'timeout';
	}

	#write(refusal: Refusal): void {
		this.status = this.#refuse(this.#response, refusal);
	}
}
