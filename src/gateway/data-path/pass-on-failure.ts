/** Gives the caller the failure that an endpoint answered with, where no other endpoint is tried. */
import {type ServerResponse} from 'node:http';
import {type DecisionLog} from '../observability/decision-log.js';
import {type AnswerTransfer} from './answer-transfer.js';
import {type EndpointAnswer} from './endpoint-exchange.js';
import {transferOf} from './endpoint-try.js';
import {relayAnswer, type RelayOutcome} from './relay-answer.js';

/** The failure, and to whom it goes. */
export type FailureWork = {
	id: string;
	answer: EndpointAnswer;
	response: ServerResponse;
	log: Pick<DecisionLog, 'record'>;
};

/**
 * Passes a failure on.
 *
 * @param work - The failure, and to whom it goes.
 * @returns How it ended and how it came; behind parts of another answer it is `cut` and nothing of it is passed on.
 */
export async function passOnFailure({id, answer, response, log}: FailureWork): Promise<{outcome: RelayOutcome; transfer?: AnswerTransfer}> {
	if (response.headersSent) {
		answer.body.resume();
		return {outcome: 'cut'};
	}

	const {outcome, ...read} = await relayAnswer({
		answer,
		response,
		cutter: undefined,
		onFirstBytes: ignore,
		onBytes: ignore,
		onFault(error) {
			log.record('fault', {path: 'relay', id, error: String(error)});
		},
	});
	return {outcome, transfer: transferOf(answer, read)};
}

function ignore(): void {
	// A failure that is passed on says nothing of how fast the endpoint answers.
}
