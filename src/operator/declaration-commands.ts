/**
 * The commands for declarations: check, plan, apply, history, show, revert. Each returns the exit status of the program:
 * 0 done, 1 not done, 2 invalid input, 3 unknown whether it was done.
 */
import {readFile} from 'node:fs/promises';
import {type Either, Left} from 'purify-ts/Either';
import {checkDeclaration, type DeclarationFile} from '../declaration/check-declaration.js';
import {configurationAt} from '../declaration/configuration-at.js';
import {type Declaration} from '../declaration/declaration-schema.js';
import {describeEdit, formatEdit} from '../declaration/describe-edit.js';
import {planEdits, planRevert} from '../declaration/plan-edits.js';
import {type ConfigurationState} from '../protocol/configuration/configuration-state.js';
import {badUsageExitCode} from '../settings/read-settings.js';
import {formatFinding} from '../shared/format-finding.js';
import {type ConfigurationChange, type ConfigurationEdit, type Finding} from '../shared/types.js';
import {type OperatorClient, type ProposalAnswer} from './operator-client.js';

export const failedExitCode = 1;
export const unknownExitCode = 3;

/** Receives results and problems; the command line writes them to standard output and standard error. */
export type CommandOutput = {
	line(text: string): void;
	problem(text: string): void;
};

/** The author of a change and the reason for it. */
export type Authorship = {
	author: string;
	reason: string;
};

/** The options of `apply` besides the files. */
export type ApplyOptions = Authorship & {
	/** The version that the plan was made against; the newest one if absent. */
	plannedAgainst?: number;
};

/** Reads and checks files. A file that cannot be read is reported as a finding. */
async function readDeclaration(paths: readonly string[]): Promise<Either<Finding[], Declaration>> {
	const files: DeclarationFile[] = [];
	const unreadable: Finding[] = [];
	for (const path of paths) {
		try {
			files.push({file: path, text: await readFile(path, 'utf8')});
		} catch (error) {
			unreadable.push({
				place: {
					source: 'file', file: path, line: 1, column: 1,
				}, message: `cannot be read: ${(error as Error).message}`,
			});
		}
	}

	const checked = checkDeclaration(files);
	return unreadable.length === 0 ? checked : Left([...unreadable, ...checked.swap().orDefault([])]);
}

function reportFindings(findings: readonly Finding[], output: CommandOutput): number {
	for (const finding of findings) {
		output.problem(formatFinding(finding));
	}

	return badUsageExitCode;
}

/** Runs `savorygauge check FILE…`. */
export async function runCheck(paths: readonly string[], output: CommandOutput): Promise<number> {
	const declaration = await readDeclaration(paths);
	return declaration.caseOf({
		Left: findings => reportFindings(findings, output),
		Right({workspaces, services, rules, limits}) {
			output.line(`${workspaces.length} workspaces, ${services.length} services, ${rules.length} rules, ${limits.length} limits: no findings`);
			return 0;
		},
	});
}

/** Runs `savorygauge plan FILE…`. */
export async function runPlan(paths: readonly string[], client: OperatorClient, output: CommandOutput): Promise<number> {
	const declaration = await readDeclaration(paths);
	if (declaration.isLeft()) {
		return reportFindings(declaration.extract(), output);
	}

	const state = await client.configuration();
	const edits = planEdits(state, declaration.unsafeCoerce());
	output.line(`planned against version ${state.version}: ${edits.length} edits`);
	showEdits(state, edits, output);
	if (edits.length > 0) {
		output.line(`to apply exactly this plan, use apply --against ${state.version}`);
	}

	return 0;
}

/** Runs `savorygauge apply FILE…`. */
export async function runApply(paths: readonly string[], options: ApplyOptions, client: OperatorClient, output: CommandOutput): Promise<number> {
	const declaration = await readDeclaration(paths);
	if (declaration.isLeft()) {
		return reportFindings(declaration.extract(), output);
	}

	const state = await client.configuration();
	const {author, reason, plannedAgainst = state.version} = options;
	if (plannedAgainst < state.version) {
		return reportAnswer({kind: 'overtaken', since: await client.changes(plannedAgainst)}, output);
	}

	if (plannedAgainst > state.version) {
		output.problem(`there is no version ${plannedAgainst}; the newest one known at ${client.address} is ${state.version}`);
		return failedExitCode;
	}

	const edits = planEdits(state, declaration.unsafeCoerce());
	if (edits.length === 0) {
		output.line(`nothing to change: version ${state.version} is what the files declare`);
		return 0;
	}

	showEdits(state, edits, output);
	return reportAnswer(await client.propose({
		plannedAgainst, edits, author, reason,
	}), output);
}

/** Runs `savorygauge revert VERSION`. */
export async function runRevert(version: number, authorship: Authorship, client: OperatorClient, output: CommandOutput): Promise<number> {
	const changes = await client.changes(0, version);
	const earlier = configurationAt(changes, version);
	if (earlier.isLeft()) {
		output.problem(earlier.extract());
		return failedExitCode;
	}

	const state = await client.configuration();
	const edits = planRevert(state, earlier.unsafeCoerce());
	if (edits.length === 0) {
		output.line(`nothing to change: version ${state.version} is what version ${version} was`);
		return 0;
	}

	showEdits(state, edits, output);
	return reportAnswer(await client.propose({plannedAgainst: state.version, edits, ...authorship}), output);
}

/** Runs `savorygauge history`. */
export async function runHistory(client: OperatorClient, output: CommandOutput): Promise<number> {
	for (const change of await client.changes()) {
		output.line(formatChange(change));
	}

	return 0;
}

/** Runs `savorygauge show VERSION`. */
export async function runShow(version: number, client: OperatorClient, output: CommandOutput): Promise<number> {
	const [change] = await client.changes(version - 1, version);
	if (change === undefined) {
		output.problem(`there is no version ${version}`);
		return failedExitCode;
	}

	output.line(JSON.stringify(change, undefined, 2));
	return 0;
}

function showEdits(state: ConfigurationState, edits: readonly ConfigurationEdit[], output: CommandOutput): void {
	for (const line of edits.flatMap(edit => describeEdit(state, edit))) {
		output.line(`  ${line}`);
	}
}

function reportAnswer(answer: ProposalAnswer, output: CommandOutput): number {
	switch (answer.kind) {
		case 'accepted': {
			output.line(`accepted as version ${answer.change.version}`);
			return 0;
		}

		case 'overtaken': {
			output.problem('not accepted: others changed the configuration since the plan was made; your files are as they were');
			for (const change of answer.since) {
				output.problem(`  ${formatChange(change)}`);
			}

			return failedExitCode;
		}

		case 'bad-proposal': {
			for (const {path, message} of answer.findings) {
				output.problem(`${path}: ${message}`);
			}

			return badUsageExitCode;
		}

		case 'unavailable': {
			output.problem(`not accepted: ${answer.detail}`);
			return failedExitCode;
		}

		case 'outcome-unknown': {
			output.problem(`it is not known whether this was accepted (${answer.detail}); check the history before you try again`);
			return unknownExitCode;
		}
	}
}

function formatChange(change: ConfigurationChange): string {
	const when = new Date(change.acceptedAt).toISOString();
	return `version ${change.version}  ${when}  ${change.author}: ${change.reason} (${change.edits.map(edit => formatEdit(edit)).join(', ')})`;
}
