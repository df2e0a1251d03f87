/** Ends a routed request that gets no whole answer: with a typed refusal, or by breaking off what the caller has of one. */
import {type ServerResponse} from 'node:http';
import {breakOffAnswer} from '../../serving/break-off-answer.js';
import {type Refusal} from '../../shared/types.js';
import {type Refuse} from './refuse.js';
import {type RoutedEnd} from './report-end.js';

export class RequestEnding {
	/** Of the last refusal; absent while there was none. */
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
	 * @param refusal - What to say if nothing can have run.
	 * @param mayHaveRun - Whether a try may have run.
	 */
	giveUp(refusal: Refusal, mayHaveRun: boolean): RoutedEnd {
		if (this.#response.headersSent) {
			breakOffAnswer(this.#response);
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
	 * Ends a request whose time is over.
	 *
	 * @param mayHaveRun - Whether a try may have run.
	 */
	expire(mayHaveRun: boolean): RoutedEnd {
		if (this.#response.headersSent) {
			breakOffAnswer(this.#response);
		} else if (mayHaveRun) {
			this.#write({reason: 'timeout', ran: 'unknown', message: 'the request was not answered in time'});
		} else {
			this.#write({reason: 'deadline', ran: 'not-run', message: 'the time of the request was over before an endpoint took it'});
		}

		return 'timeout';
	}

	#write(refusal: Refusal): void {
		this.status = this.#refuse(this.#response, refusal);
	}
}
