/** The result of one attempt at an endpoint. */
import {type AttemptOutcome} from '../../decision/attempts/next-step.js';
import {type AnswerTransfer} from './answer-transfer.js';
import {type EndpointAnswer} from './endpoint-exchange.js';

/** How an attempt ended. */
export type AttemptResult = {
	outcome: AttemptOutcome | 'whole' | 'client-left';
	/** Whether the endpoint may have received the request. */
	wasSent: boolean;
	/** Whether the endpoint may have run the request. */
	mayHaveRun: boolean;
	/** Whether the endpoint's side ended the connection before the answer was complete. */
	isConnectionLost?: boolean;
	answer?: EndpointAnswer;
	transfer: AnswerTransfer;
	/** The longest silence of the endpoint meanwhile; absent if there was none. */
	silentMilliseconds?: number | undefined;
	detail?: string | undefined;
};

/**
 * Describes for the log how an answer was transferred.
 *
 * @param answer - The answer, with its framing and connection.
 * @param read - What was read of its body.
 */
export function transferOf({connection, framing}: EndpointAnswer, read: Pick<AnswerTransfer, 'bodyBytes' | 'bodyEnd'>): AnswerTransfer {
	return {connection, framing, ...read};
}
