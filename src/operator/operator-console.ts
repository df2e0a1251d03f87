/** The operators' console: executes a line of the query language at one or more entries, and prints the result. */
import {type StatementAnswer, type StatementRequest} from '../language/statement-messages.js';
import {checkRead} from '../language/evaluate-read.js';
import {formatTable} from '../language/format-table.js';
import {mergeTables} from '../language/merge-tables.js';
import {parseStatement} from '../language/parse-statement.js';
import {sourcesPerInstance} from '../language/sources.js';
import {type CommandStatement, type LanguageError, type ReadStatement} from '../language/statement.js';
import {badUsageExitCode} from '../settings/read-settings.js';
import {type CommandOutput, failedExitCode, unknownExitCode} from './declaration-commands.js';
import {type OperatorClient, OperatorClientError} from './operator-client.js';

/** Options of the console. */
export type ConsoleOptions = {
	author: string;
	/** Whether to print JSON in place of tables. */
	json: boolean;
	/** Whether commands are carried out without confirmation. */
	yes: boolean;
};

/** Asks the operator to confirm the command that was previewed. */
export type Confirm = () => Promise<boolean>;

type TableAnswer = StatementAnswer & {kind: 'table'};

export class OperatorConsole {
	readonly #clients: readonly OperatorClient[];
	readonly #options: ConsoleOptions;
	readonly #output: CommandOutput;

	constructor(clients: readonly OperatorClient[], options: ConsoleOptions, output: CommandOutput) {
		this.#clients = clients;
		this.#options = options;
		this.#output = output;
	}

	get output(): CommandOutput {
		return this.#output;
	}

	/** Executes one line. Resolves with the exit status of the program. */
	async execute(text: string, confirm: Confirm): Promise<number> {
		const statement = parseStatement(text).chain(parsed => parsed.kind === 'read' ? checkRead(parsed) : parseStatement(text));
		return statement.caseOf({
			Left: async error => this.#reportErrors(text, [error]),
			Right: async parsed => parsed.kind === 'read' ? this.#executeRead(text, parsed) : this.#executeCommand(text, parsed, confirm),
		});
	}

	async #executeRead(text: string, statement: ReadStatement): Promise<number> {
		const isPerInstance = sourcesPerInstance.has(statement.source);
		const {answers, notes} = isPerInstance ? await this.#sendToAll({statement: text}) : await this.#sendToFirst({statement: text});
		const failed = answers.find(answer => answer.kind === 'error');
		if (failed !== undefined) {
			return this.#reportErrors(text, failed.errors);
		}

		const tables = answers.filter((answer): answer is TableAnswer => answer.kind === 'table');
		const table = mergeTables(statement, tables.map(({rows}) => rows));
		const allNotes = [...tables.flatMap(answer => answer.notes), ...notes];
		if (this.#options.json) {
			this.#output.line(JSON.stringify({...table, notes: allNotes}));
		} else {
			this.#print([...formatTable(table), table.rows.length === 1 ? '1 row' : `${table.rows.length} rows`]);
			for (const note of allNotes) {
				this.#output.problem(note);
			}
		}

		return notes.length > 0 ? failedExitCode : 0;
	}

	async #executeCommand(text: string, statement: CommandStatement, confirm: Confirm): Promise<number> {
		const {answers: [preview], notes} = await this.#sendToFirst({statement: text});
		if (preview?.kind !== 'shown') {
			return preview?.kind === 'error' ? this.#reportErrors(text, preview.errors) : this.#fail(notes);
		}

		if (!this.#options.json) {
			this.#print(preview.lines);
		}

		if (!this.#options.yes && !await confirm()) {
			this.#output.problem('not done: it needs your confirmation or --yes');
			return failedExitCode;
		}

		const request = {statement: text, author: this.#options.author, confirmedAgainst: preview.plannedAgainst};
		const outcome = statement.verb === 'cancel' ? await this.#sendToAll(request) : await this.#sendToFirst(request);
		return this.#reportOutcome(text, outcome);
	}

	#reportOutcome(text: string, {answers, notes}: {answers: StatementAnswer[]; notes: string[]}): number {
		const best = answers.find(({kind}) => kind === 'done') ?? answers.find(({kind}) => kind === 'unknown') ?? answers[0];
		if (best === undefined) {
			return this.#fail(notes);
		}

		if (best.kind === 'error') {
			return this.#reportErrors(text, best.errors);
		}

		if (best.kind === 'table' || best.kind === 'shown') {
			return this.#fail(['the entry did not carry out the command']);
		}

		if (this.#options.json) {
			this.#output.line(JSON.stringify(best));
		} else if (best.kind === 'done') {
			this.#print(best.lines);
		} else {
			this.#fail([`${best.kind === 'unknown' ? 'it is not known whether this was done' : 'not done'}:`, ...best.lines, ...notes]);
		}

		return {done: 0, 'not-done': failedExitCode, unknown: unknownExitCode}[best.kind];
	}

	/** Sends a request to all entries; each failed request adds a note. */
	async #sendToAll(request: StatementRequest): Promise<{answers: StatementAnswer[]; notes: string[]}> {
		const answers: StatementAnswer[] = [];
		const notes: string[] = [];
		await Promise.all(this.#clients.map(async client => {
			try {
				answers.push(await sendTo(client, request));
			} catch (error) {
				notes.push(noteOf(error));
			}
		}));
		return {answers, notes};
	}

	/** Sends a request to the entries in turn until one answers. A confirmed command is sent to the first entry only. */
	async #sendToFirst(request: StatementRequest): Promise<{answers: StatementAnswer[]; notes: string[]}> {
		const notes: string[] = [];
		for (const client of this.#clients) {
			try {
				return {answers: [await sendTo(client, request)], notes: []};
			} catch (error) {
				notes.push(noteOf(error));
				if (request.confirmedAgainst !== undefined) {
					// The command may have been carried out although its answer was lost; another entry would carry it out again.
					return {answers: [{kind: 'unknown', instance: client.address, lines: ['check the acts before you try again']}], notes};
				}
			}
		}

		return {answers: [], notes};
	}

	#reportErrors(text: string, errors: readonly LanguageError[]): number {
		if (this.#options.json) {
			this.#output.line(JSON.stringify({errors}));
			return badUsageExitCode;
		}

		for (const {column, message} of errors) {
			this.#output.problem(text);
			this.#output.problem(`${' '.repeat(column - 1)}^ column ${column}: ${message}`);
		}

		return badUsageExitCode;
	}

	#print(lines: readonly string[]): void {
		for (const line of lines) {
			this.#output.line(line);
		}
	}

	#fail(lines: readonly string[]): number {
		for (const line of lines) {
			this.#output.problem(line);
		}

		return failedExitCode;
	}
}

async function sendTo(client: OperatorClient, request: StatementRequest): Promise<StatementAnswer> {
	const {status, body} = await client.exchange('POST', '/operator/ask', request);
	if ((status !== 200 && status !== 400) || body === undefined) {
		throw new OperatorClientError(`${client.address} answered ${status}`);
	}

	return body as unknown as StatementAnswer;
}

function noteOf(error: unknown): string {
	if (error instanceof OperatorClientError) {
		return error.message;
	}

	throw error;
}
