/**
 * The row by which a call that may never run twice is claimed before it is sent. It holds who may send, whether the
 * call may have been sent, and the first answer, which every repeat of the key gets.
 */
import {Buffer} from 'node:buffer';
import {type PlainAnswer} from '../../ports/plain-service.js';
import {digestOf} from '../../shared/digest-of.js';

export const claimTable = 'claims';

/**
 * `claimed`: nothing was sent. `sending`: it may have been sent. `recorded`: the answer stands. `abandoned`: never sent.
 * `unknown`: it was sent and its answer is lost. Only `claimed` (lapsed) and `abandoned` can be claimed again.
 */
export type ClaimStage = 'claimed' | 'sending' | 'recorded' | 'abandoned' | 'unknown';

/** An answer as a row holds it. */
export type RecordedAnswer = {
	status: number;
	headers: Record<string, string>;
	bodyBase64: string;
};

export type ClaimRow = {
	stage: ClaimStage;
	/** Names one attempt at the claim; a take-over changes it. */
	nonce: string;
	holder: string;
	/**
	 * In milliseconds since the epoch. `claimed`: when others may take the claim over. `sending`: when the call is
	 * overdue and its outcome counts as unknown.
	 */
	leaseUntil: number;
	bodyDigest: string;
	configurationVersion: number;
	answer?: RecordedAnswer;
};

/**
 * Gives the key of a claim's row. Keys of callers are digested: they may be long, and may tell something.
 *
 * @param workspace - The caller's workspace.
 * @param service - The plain service.
 * @param idempotencyKey - The caller's `Idempotency-Key`.
 * @returns The key; two workspaces never share one.
 */
export function claimKeyOf(workspace: string, service: string, idempotencyKey: string): string {
	return `${workspace}/${service}/${digestOf(idempotencyKey)}`;
}

/** Turns an answer into what a row holds. */
export function recordAnswer(answer: PlainAnswer): RecordedAnswer {
	return {status: answer.status, headers: answer.headers, bodyBase64: answer.body.toString('base64')};
}

/** Turns what a row holds into an answer. */
export function replayAnswer(recorded: RecordedAnswer): PlainAnswer {
	return {status: recorded.status, headers: recorded.headers, body: Buffer.from(recorded.bodyBase64, 'base64')};
}
