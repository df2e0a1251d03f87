/** The commands on declarations: check, plan, apply, history, show. Each gives the exit status of the program. */
import {readFile} from 'node:fs/promises';
import {type Either, Left} from 'purify-ts/Either';
import {checkDeclaration, type DeclarationFile} from '../declaration/check-declaration.js';
import {type Declaration} from '../declaration/declaration-schema.js';
import {planEdits} from '../declaration/plan-edits.js';
import {badUsageExitCode} from '../settings/read-settings.js';
import {formatFinding} from '../shared/format-finding.js';
import {type ConfigurationChange, type Finding} from '../shared/types.js';
import {formatEdit} from './format-edit.js';
import {type OperatorClient, type ProposalAnswer} from './operator-client.js';

const failedExitCode = 1;

/** Writes results and problems; the command line writes to the standard streams. */
export type CommandOutput = {
	line(text: string): void;
	problem(text: string): void;
};

/** Reads and checks files. */
async function readDeclaration(paths: readonly string[]): Promise<Either<Finding[], Declaration>> {
	const files: DeclarationFile[] = [];
	for (const path of paths) {
		try {
			files.push({file: path, text: await readFile(path, 'utf8')});
		} catch (error) {
			return Left([{
				place: {
					source: 'file', file: path, line: 1, column: 1,
				}, message: `cannot be read: ${(error as Error).message}`,
			}]);
		}
	}

	return checkDeclaration(files);
}

function reportFindings(findings: readonly Finding[], output: CommandOutput): number {
	for (const finding of findings) {
		output.problem(formatFinding(finding));
	}

	return badUsageExitCode;
}

/** `savorygauge check FILE…` */
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

/** `savorygauge plan FILE…` */
export async function runPlan(paths: readonly string[], client: OperatorClient, output: CommandOutput): Promise<number> {
	const declaration = await readDeclaration(paths);
	if (declaration.isLeft()) {
		return reportFindings(declaration.extract(), output);
	}

	const state = await client.configuration();
	const edits = planEdits(state, declaration.unsafeCoerce());
	output.line(`planned against version ${state.version}: ${edits.length} edits`);
	for (const edit of edits) {
		output.line(`  ${formatEdit(edit)}`);
	}

	return 0;
}

/** What `apply` needs beside the files. */
export type ApplyOptions = {
	author: string;
	reason: string;
	/** The version that the plan was made against; absent for the one in force now. */
	plannedAgainst?: number;
};

/** `savorygauge apply FILE…` */
export async function runApply(paths: readonly string[], options: ApplyOptions, client: OperatorClient, output: CommandOutput): Promise<number> {
	const declaration = await readDeclaration(paths);
	if (declaration.isLeft()) {
		return reportFindings(declaration.extract(), output);
	}

	const state = await client.configuration();
	const edits = planEdits(state, declaration.unsafeCoerce());
	if (edits.length === 0) {
		output.line(`nothing to change: version ${state.version} is what the files declare`);
		return 0;
	}

	const {author, reason, plannedAgainst = state.version} = options;
	const answer = await client.propose({
		plannedAgainst, edits, author, reason,
	});
	return reportAnswer(answer, output);
}

function reportAnswer(answer: ProposalAnswer, output: CommandOutput): number {
	if (answer.kind === 'accepted') {
		output.line(`accepted as version ${answer.change.version}`);
		return 0;
	}

	if (answer.kind === 'overtaken') {
		output.problem('not accepted: others changed the configuration since the plan was made; your files are as they were');
		for (const change of answer.since) {
			output.problem(`  ${formatChange(change)}`);
		}

		return failedExitCode;
	}

	output.problem(`${answer.kind}: ${answer.detail}`);
	return failedExitCode;
}

/** `savorygauge history` */
export async function runHistory(client: OperatorClient, output: CommandOutput): Promise<number> {
	for (const change of await client.changes()) {
		output.line(formatChange(change));
	}

	return 0;
}

/** `savorygauge show VERSION` */
export async function runShow(version: number, client: OperatorClient, output: CommandOutput): Promise<number> {
	const changes = await client.changes();
	const change = changes.find(candidate => candidate.version === version);
	if (change === undefined) {
		output.problem(`there is no version ${version}`);
		return failedExitCode;
	}

	output.line(JSON.stringify(change, undefined, 2));
	return 0;
}

function formatChange(change: ConfigurationChange): string {
	const when = new Date(change.acceptedAt).toISOString();
	return `version ${change.version}  ${when}  ${change.author}: ${change.reason} (${change.edits.map(edit => formatEdit(edit)).join(', ')})`;
}
