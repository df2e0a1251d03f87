/**
 * Reports the state of a call that runs at most once: `GET /v1/calls/{service}/{key}`, for the workspace that sent it. A
 * caller whose call was refused as `unknown`, or whose connection broke, queries it here; a query never runs the call.
 */
import {type ServerResponse} from 'node:http';
import {
	type ClaimRow, claimKeyOf, claimTable, type RecordedAnswer,
} from '../../protocol/claim/claim-row.js';
import {type NodeExchange} from '../../shared/node-route.js';
import {type WorkspaceItem} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';
import {sendRefusal} from '../../serving/send-refusal.js';
import {sendJson} from './send-complete-answer.js';

const retryDelayMilliseconds = 2000;
const pathPattern = /^\/v1\/calls\/(?<service>[^\/?]+)\/(?<key>[^\/?]+)$/v;

/**
 * State of a call. `none`: no call with this key has been claimed. `in-progress`: it may be running now. `not-run`: none of
 * its attempts so far was sent. `answered`: its answer is recorded. `unknown`: it may have run, and is not sent again.
 */
export type CallState = 'none' | 'in-progress' | 'not-run' | 'answered' | 'unknown';

/** The body of the answer: the state of the call, and its recorded answer if there is one. */
export type CallReport = {
	state: CallState;
	answer?: RecordedAnswer;
};

/**
 * Derives the state of a call from its claim.
 *
 * @param row - The claim, if there is one.
 * @param now - Milliseconds since the epoch.
 * @returns The report.
 */
export function reportOfClaim(row: ClaimRow | undefined, now: number): CallReport {
	switch (row?.stage) {
		case undefined: {
			return {state: 'none'};
		}

		case 'recorded': {
			return {state: 'answered', ...(row?.answer === undefined ? {} : {answer: row.answer})};
		}

		case 'abandoned': {
			return {state: 'not-run'};
		}

		case 'unknown': {
			return {state: 'unknown'};
		}

		case 'claimed': {
			// A holder that was paused may still confirm an expired claim and send the call, so it is not reported as `not-run`.
			return {state: 'in-progress'};
		}

		case 'sending': {
			return {state: row.leaseUntil < now ? 'unknown' : 'in-progress'};
		}
	}
}

export class CallsRoute {
	readonly #context: EntryContext;

	constructor(context: EntryContext) {
		this.#context = context;
	}

	/** Answers a query for a call of one workspace; the path cannot name calls of other workspaces. */
	async answerQuery(workspace: WorkspaceItem, {request, response}: NodeExchange): Promise<void> {
		const {table, clock} = this.#context;
		const parts = pathPattern.exec(request.url ?? '')?.groups;
		const service = decoded(parts?.service);
		const key = decoded(parts?.key);
		if (service === undefined || key === undefined) {
			sendRefusal(response, {reason: 'bad-request', ran: 'not-run', message: 'the path is /v1/calls/{service}/{key}'});
			return;
		}

		const row = await table.read({table: claimTable, key: claimKeyOf(workspace.name, service, key)});
		row.caseOf({
			Left() {
				sendRefusal(response, {
					reason: 'platform-unavailable', ran: 'unknown', message: 'the call cannot be looked up now', retryAfterMilliseconds: retryDelayMilliseconds,
				});
			},
			Right(found) {
				sendJson(response, reportOfClaim(found?.value as unknown as ClaimRow | undefined, clock.now()));
			},
		});
	}
}

function decoded(part: string | undefined): string | undefined {
	try {
		return part === undefined ? undefined : decodeURIComponent(part);
	} catch {
		return undefined;
	}
}
