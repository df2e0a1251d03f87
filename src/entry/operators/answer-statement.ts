/**
 * Answers one statement of the operators' language. A read is answered immediately; a command is first shown as a plan, and
 * run when the operator has confirmed it.
 */
import {z} from 'zod';
import {describeEdit} from '../../declaration/describe-edit.js';
import {type StatementAnswer, type StatementRequest} from '../../language/statement-messages.js';
import {checkRead, evaluateRead} from '../../language/evaluate-read.js';
import {parseStatement} from '../../language/parse-statement.js';
import {type CommandPlan, formatCommand, planCommand} from '../../language/plan-command.js';
import {type CommandStatement, type LanguageError, type ReadStatement} from '../../language/statement.js';
import {type EntryContext} from '../entry-context.js';
import {CommandRunner} from './command-runner.js';
import {catchUp} from './propose-change.js';
import {type PeerView, readSource} from './read-source.js';

const maxAuthorCharacters = 200;
const requestSchema = z.strictObject({
	statement: z.string(),
	author: z.string().trim().min(1).max(maxAuthorCharacters).optional(),
	confirmedAgainst: z.number().int().nonnegative().optional(),
});

/**
 * Answers a statement.
 *
 * @param context - The entry.
 * @param peers - The entry's view of its peers.
 * @param body - The request body as received; it is validated here.
 * @returns The answer; `error` if the body or the statement is invalid.
 */
export async function answerStatement(context: EntryContext, peers: PeerView, body: unknown): Promise<StatementAnswer> {
	const request = requestSchema.safeParse(body);
	if (!request.success) {
		return errorOf(...request.error.issues.map(issue => ({column: 1, message: `${issue.path.join('.')}: ${issue.message}`})));
	}

	const statement = parseStatement(request.data.statement);
	if (statement.isLeft()) {
		return errorOf(statement.extract());
	}

	const parsed = statement.unsafeCoerce();
	return parsed.kind === 'read' ? answerRead({context, peers}, parsed) : answerCommand(context, parsed, request.data as StatementRequest);
}

async function answerRead({context, peers}: {context: EntryContext; peers: PeerView}, statement: ReadStatement): Promise<StatementAnswer> {
	const checked = checkRead(statement);
	if (checked.isLeft()) {
		return errorOf(checked.extract());
	}

	const {rows, notes} = await readSource(context, peers, statement.source);
	return {
		kind: 'table', instance: context.identity.instance, ...evaluateRead(statement, rows), notes,
	};
}

async function answerCommand(context: EntryContext, statement: CommandStatement, {author, confirmedAgainst}: StatementRequest): Promise<StatementAnswer> {
	await catchUp(context);
	const {state} = context.configuration;
	const endpoints = [...context.endpoints.engines(), ...context.endpoints.plainEndpoints()].map(({name}) => name);
	const planned = planCommand(statement, {state, endpoints});
	if (planned.isLeft()) {
		return errorOf(planned.extract());
	}

	const plan = planned.unsafeCoerce();
	if (confirmedAgainst === undefined) {
		return {
			kind: 'shown', instance: context.identity.instance, plannedAgainst: state.version, lines: describePlan(context, statement, plan),
		};
	}

	if (author === undefined) {
		return errorOf({column: 1, message: 'author: the name of the operator is required'});
	}

	// The command that runs must be the one that was shown. If another operator has changed the configuration in between, the
	// command is refused, like any proposal against an old version.
	const shown: CommandPlan = plan.kind === 'change' ? {...plan, plannedAgainst: confirmedAgainst} : plan;
	return new CommandRunner(context).run({
		author, command: formatCommand(statement), reason: statement.reason, plan: shown,
	});
}

function describePlan({configuration}: EntryContext, statement: CommandStatement, plan: CommandPlan): string[] {
	if (plan.kind === 'cancel') {
		return [`cancel request ${plan.requestId} at the instance that serves it; its caller gets "cancelled"`, `because: ${statement.reason}`];
	}

	const changes = plan.edits.flatMap(edit => describeEdit(configuration.state, edit));
	return [`${formatCommand(statement)}: a configuration change against version ${plan.plannedAgainst}`, ...changes.map(line => `  ${line}`), `because: ${statement.reason}`];
}

function errorOf(...errors: LanguageError[]): StatementAnswer {
	return {kind: 'error', errors};
}
