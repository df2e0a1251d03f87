/** Relays the failure that an endpoint answered with, where no other endpoint is tried. */
import {type ServerResponse} from 'node:http';
import {type HeldMemory} from '../../serving/held-memory.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type AnswerTransfer} from './answer-transfer.js';
import {type EndpointAnswer} from './endpoint-exchange.js';
import {transferOf} from './attempt-result.js';
import {relayAnswer, type RelayOutcome} from './relay-answer.js';

/** The failure to relay, and the response to write it to. */
export type FailureRelay = {
	id: string;
	answer: EndpointAnswer;
	response: ServerResponse;
	log: Pick<DecisionLog, 'record'>;
	/** Counts what the caller has not read; absent where the memory of the process is not limited. */
	memory?: HeldMemory | undefined;
};

/**
 * Relays a failure to the caller.
 *
 * @param work - The failure, and the response to write it to.
 * @returns How the relay ended, and how the failure was transferred. If the caller already has part of another answer, the
 * outcome is `cut` and nothing is relayed.
 */
export async function relayFailure({id, answer, response, log, memory}: FailureRelay): Promise<{outcome: RelayOutcome; transfer?: AnswerTransfer}> {
	if (response.headersSent) {
		answer.body.resume();
		return {outcome: 'cut'};
	}

	const {outcome, ...read} = await relayAnswer({
		answer,
		response,
		splitter: undefined,
		held: memory?.answerTo(response, id),
		onFirstBytes: ignore,
		onBytes: ignore,
		onFault(error) {
			log.record('fault', {path: 'relay', id, error: String(error)});
		},
	});
	return {outcome, transfer: transferOf(answer, read)};
}

function ignore(): void {
	// A relayed failure does not show how fast the endpoint answers.
}
