/**
 * Runs an operator's command. The record is written first, and a command whose record cannot be written is not run, so that
 * every change has a recorded author and reason.
 */
import {describeEdit} from '../../declaration/describe-edit.js';
import {type StatementAnswer} from '../../language/statement-messages.js';
import {type CommandPlan} from '../../language/plan-command.js';
import {type EntryContext} from '../entry-context.js';
import {
	commandKeyOf, type CommandRecord, completeCommandRecord, writeCommandRecord,
} from './command-record.js';
import {proposeChange} from './propose-change.js';

/** A command whose plan was shown to the operator and confirmed. */
export type ConfirmedCommand = {
	author: string;
	command: string;
	reason: string;
	plan: CommandPlan;
};

type Outcome = {kind: 'done' | 'not-done' | 'unknown'; lines: string[]};

export class CommandRunner {
	readonly #context: EntryContext;

	constructor(context: EntryContext) {
		this.#context = context;
	}

	async run(confirmed: ConfirmedCommand): Promise<StatementAnswer> {
		const {table, clock, identity, timeline} = this.#context;
		const {plan, author, command, reason} = confirmed;
		if (plan.kind === 'cancel' && !this.#isHere(plan.requestId)) {
			return {kind: 'not-done', instance: identity.instance, lines: [`${identity.instance} serves no request ${plan.requestId}`]};
		}

		const at = clock.now();
		const key = commandKeyOf(at);
		const record: CommandRecord = {
			at, author, act: command, reason, instance: identity.instance, outcome: 'asked',
		};
		const recorded = await writeCommandRecord(table, key, record);
		if (recorded.isLeft()) {
			return {kind: 'not-done', instance: identity.instance, lines: [`the command could not be recorded (${recorded.extract().kind}), so nothing was done`]};
		}

		const outcome = plan.kind === 'cancel' ? this.#cancel(plan.requestId) : await this.#change(confirmed, plan);
		await completeCommandRecord(table, key, {...record, outcome: `${outcome.kind}: ${outcome.lines[0]!}`});
		timeline.record({kind: 'operator-act', at: clock.now(), detail: `${author}: ${command} (${outcome.kind})`});
		return {...outcome, instance: identity.instance};
	}

	#isHere(requestId: string): boolean {
		return this.#context.requests.list().some(request => request.requestId === requestId);
	}

	#cancel(requestId: string): Outcome {
		const {requests} = this.#context;
		const outcome = requests.cancel(requestId);
		const line = {
			cancelled: `request ${requestId} was cancelled`,
			'not-here': `request ${requestId} has ended already`,
			'cannot-be-cancelled': `request ${requestId} is a call to a plain service, which may have had its effect; it is not cancelled`,
		}[outcome];
		return {kind: outcome === 'cancelled' ? 'done' : 'not-done', lines: [line]};
	}

	async #change({author, command, reason}: ConfirmedCommand, plan: CommandPlan & {kind: 'change'}): Promise<Outcome> {
		const {plannedAgainst, edits} = plan;
		const before = this.#context.configuration.state;
		const accepted = await proposeChange(this.#context, {
			plannedAgainst, edits, author, reason: `${command}: ${reason}`,
		});
		return accepted.caseOf<Outcome>({
			Left(failure) {
				switch (failure.kind) {
					case 'overtaken': {
						const others = failure.since.map(change => `  version ${change.version} by ${change.author}: ${change.reason}`);
						return {kind: 'not-done', lines: ['others changed the configuration since this was shown', ...others]};
					}

					case 'bad-proposal': {
						return {kind: 'not-done', lines: failure.findings.map(({path, message}) => `${path}: ${message}`)};
					}

					case 'unavailable': {
						return {kind: 'not-done', lines: [failure.detail]};
					}

					case 'outcome-unknown': {
						return {kind: 'unknown', lines: [failure.detail]};
					}
				}
			},
			Right: ({version}) => ({kind: 'done', lines: [`accepted as version ${version}`, ...edits.flatMap(edit => describeEdit(before, edit)).map(line => `  ${line}`)]}),
		});
	}
}
