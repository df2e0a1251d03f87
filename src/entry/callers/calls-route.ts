/**
 * Tells what became of a call that may never run twice: `GET /v1/calls/{service}/{key}`, for the workspace that sent it.
 * A caller who was told `unknown`, or whose connection broke, asks here; asking never runs anything.
 */
import {type ServerResponse} from 'node:http';
import {
	type ClaimRow, claimKeyOf, claimTable, type RecordedAnswer,
} from '../../protocol/claim/claim-row.js';
import {type NodeExchange} from '../../shared/node-route.js';
import {type WorkspaceItem} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';
import {sendRefusal} from '../../serving/send-refusal.js';
import {sendJson} from './send-whole.js';

const comeBackMilliseconds = 2000;
const pathPattern = /^\/v1\/calls\/(?<service>[^\/?]+)\/(?<key>[^\/?]+)$/v;

/**
 * What became of a call. `none`: no call under this key was claimed so far. `in-progress`: it may be running now.
 * `not-run`: its attempts so far were not sent. `unknown`: it may have run, and will not be sent again.
 */
export type CallState = 'none' | 'in-progress' | 'not-run' | 'answered' | 'unknown';

/** The answer to the question. */
export type CallReport = {
	state: CallState;
	answer?: RecordedAnswer;
};

/**
 * Gives what is known of a call by its claim.
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
			// A lapsed claim may still be confirmed by a holder that was paused, so it is not called `not-run`.
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

	/** Answers the question for one workspace; other workspaces' calls cannot be named. */
	async ask(workspace: WorkspaceItem, {request, response}: NodeExchange): Promise<void> {
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
					reason: 'platform-unavailable', ran: 'unknown', message: 'the call cannot be looked up now', retryAfterMilliseconds: comeBackMilliseconds,
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
