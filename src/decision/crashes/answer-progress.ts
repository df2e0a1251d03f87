/** How far the answer to a request had come when the connection to its endpoint broke. */

/**
 * - `unanswered`: nothing of the answer had arrived; the request may still have been queued.
 * - `begun`: the head had arrived and no byte of the body: the endpoint had begun to write the answer.
 * - `answering`: some of the body had arrived.
 */
export type AnswerProgress = 'unanswered' | 'begun' | 'answering';

/**
 * Returns how far an answer had come.
 *
 * @param hasHead - Whether its head has arrived.
 * @param bodyBytes - The bytes of its body that have arrived.
 */
export function answerProgress(hasHead: boolean, bodyBytes: number): AnswerProgress {
	if (!hasHead) {
		return 'unanswered';
	}

	return bodyBytes > 0 ? 'answering' : 'begun';
}
