/**
 * The port to a plain service: an ordinary HTTP service beside the model engines. Some of its calls may never run
 * twice, so a failure says whether any byte of the call can have reached the service.
 */
import {type Buffer} from 'node:buffer';
import {type Either} from 'purify-ts/Either';

/** A call to pass on. */
export type PlainCall = {
	method: string;
	/** The path and query behind the service's base URL, with its leading slash. */
	path: string;
	headers: Record<string, string>;
	body: Buffer;
	requestId: string;
};

/** The answer, whole. */
export type PlainAnswer = {
	status: number;
	headers: Record<string, string>;
	body: Buffer;
};

/**
 * How a call failed: `not-sent` only while no byte can have left this process; `outcome-unknown` from the first byte on.
 */
export type PlainFailure
	= | {kind: 'not-sent'; detail: string}
		| {kind: 'outcome-unknown'; detail: string};

/** A plain service as savorygauge uses it. */
export interface PlainService {
	call(address: string, call: PlainCall, signal: AbortSignal): Promise<Either<PlainFailure, PlainAnswer>>;
}
