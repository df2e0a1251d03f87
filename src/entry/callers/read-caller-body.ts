import {type Buffer} from 'node:buffer';
import {type Either, Left} from 'purify-ts/Either';
import {retryAfterMilliseconds} from '../../decision/memory/retry-after.js';
import {openBodyAccount} from '../../serving/open-body-account.js';
import {readBody} from '../../serving/read-body.js';
import {type NodeExchange} from '../../shared/node-route.js';
import {type Refusal} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';

/**
 * Reads the body of a caller's request up to the configured limit, as long as this process has memory for it. The body is counted until
 * the request has ended.
 *
 * @param context - The entry.
 * @param exchange - The request and its answer.
 * @param defaultLimitBytes - The limit of the body where none is configured.
 * @returns The body, or the refusal.
 */
export async function readCallerBody({configuration, memory, newRequestId}: EntryContext, {request, response}: NodeExchange, defaultLimitBytes: number): Promise<Either<Refusal, Buffer>> {
	const limitBytes = configuration.state.limits.get('body-bytes')?.value ?? defaultLimitBytes;
	const account = openBodyAccount(memory, {request, response, limitBytes}, () => ({
		reason: 'memory-limit',
		ran: 'not-run',
		message: 'this instance has no memory left for the body',
		retryAfterMilliseconds: retryAfterMilliseconds(newRequestId(), Number.POSITIVE_INFINITY),
	}));
	if (account === undefined) {
		return readBody(request, limitBytes);
	}

	return account.caseOf<Promise<Either<Refusal, Buffer>>>({
		Left: async refusal => Left(refusal),
		async Right(opened) {
			response.once('close', () => {
				opened.release();
			});
			return readBody(request, limitBytes, opened);
		},
	});
}
