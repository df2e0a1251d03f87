/**
 * The port to a plain service, an HTTP service that is no model engine. Some of its calls are non-idempotent, so a failure
 * says whether any byte of the call may have reached the service.
 */
import {type Buffer} from 'node:buffer';
import {type Either} from 'purify-ts/Either';

/** A call to forward. */
export type PlainCall = {
	method: string;
	/** The path and query after the service's base URL, with a leading slash. */
	path: string;
	headers: Record<string, string>;
	body: Buffer;
	requestId: string;
};

/** A complete answer. */
export type PlainAnswer = {
	status: number;
	headers: Record<string, string>;
	body: Buffer;
};

/**
 * Why a call failed. `not-sent`: no byte has left this process. `outcome-unknown`: from the first byte on.
 */
export type PlainFailure
	= | {kind: 'not-sent'; detail: string}
		| {kind: 'outcome-unknown'; detail: string};

/** The plain service's interface. */
export interface PlainService {
	call(address: string, call: PlainCall, signal: AbortSignal): Promise<Either<PlainFailure, PlainAnswer>>;
}
