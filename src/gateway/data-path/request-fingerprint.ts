/**
 * Identifies a request across attempts: two attempts with the same fingerprint ask for the same thing.
 *
 * The caller's own attempt id changes with each attempt, and so do the headers that depend on time. What stays is who asks,
 * for what, and with which body. Other processes and the log get only the digest.
 */
import {createHash} from 'node:crypto';
import {type Buffer} from 'node:buffer';
import {type PermittedRequest} from './validate-request.js';
import {type RequestHead} from './request-head.js';

/** What identifies a request. */
export type IdentifiedRequest = {
	head: Pick<RequestHead, 'method' | 'host' | 'target'>;
	permitted: Pick<PermittedRequest, 'grant'>;
	body: Buffer;
};

/** Hexadecimal digits of a fingerprint: 64 bits, so that two requests of a day do not collide by chance. */
const fingerprintDigits = 16;

/**
 * Returns the fingerprint of a request.
 *
 * @param request - The request with its whole body.
 * @returns 16 hexadecimal digits.
 */
export function requestFingerprint({head: {method, host, target}, permitted: {grant}, body}: IdentifiedRequest): string {
	return createHash('sha256')
		.update(JSON.stringify([method, host, target, grant?.name ?? '']))
		.update(body)
		.digest('hex')
		.slice(0, fingerprintDigits);
}
