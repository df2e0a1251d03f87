/**
 * The row that claims a non-idempotent call before it is sent. It names the instance that may send the call, says whether
 * the call may have been sent, and holds the first answer, which every duplicate call with the same key gets.
 */
import {Buffer} from 'node:buffer';
import {type PlainAnswer} from '../../ports/plain-service.js';
import {digestOf} from '../../shared/digest-of.js';

export const claimTable = 'claims';

/**
 * - `claimed`: not sent so far; can be claimed again once its lease has expired.
 * - `sending`: may have been sent.
 * - `recorded`: the answer is final.
 * - `abandoned`: was not sent; can be claimed again.
 * - `unknown`: was sent, and its answer is lost.
 */
export type ClaimStage = 'claimed' | 'sending' | 'recorded' | 'abandoned' | 'unknown';

/** An answer as stored in a row. */
export type RecordedAnswer = {
	status: number;
	headers: Record<string, string>;
	bodyBase64: string;
};

export type ClaimRow = {
	stage: ClaimStage;
	/** Identifies one claim of the key; a takeover changes it. */
	nonce: string;
	holder: string;
	/**
	 * In milliseconds since the epoch. `claimed`: when other instances may take the claim over. `sending`: when the call is
	 * overdue and its outcome counts as unknown.
	 */
	leaseUntil: number;
	bodyDigest: string;
	configurationVersion: number;
	answer?: RecordedAnswer;
};

/**
 * Returns the key of a claim's row. The caller's key is hashed, because it may be long or contain private data.
 *
 * @param workspace - The caller's workspace.
 * @param service - The plain service.
 * @param idempotencyKey - The caller's `Idempotency-Key`.
 * @returns The key; keys of two workspaces always differ.
 */
export function claimKeyOf(workspace: string, service: string, idempotencyKey: string): string {
	return `${workspace}/${service}/${digestOf(idempotencyKey)}`;
}

/** Converts an answer to its stored form. */
export function toRecordedAnswer(answer: PlainAnswer): RecordedAnswer {
	return {status: answer.status, headers: answer.headers, bodyBase64: answer.body.toString('base64')};
}

/** Converts a stored answer back to an answer. */
export function toPlainAnswer(recorded: RecordedAnswer): PlainAnswer {
	return {status: recorded.status, headers: recorded.headers, body: Buffer.from(recorded.bodyBase64, 'base64')};
}
