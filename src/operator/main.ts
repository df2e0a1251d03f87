#!/usr/bin/env node
/** `savorygauge`: the operators' command line. */
import process from 'node:process';
import {userInfo} from 'node:os';
import {Command, Option} from 'commander';
import {type Either, Left, Right} from 'purify-ts/Either';
import {checkText} from '../settings/check-text.js';
import {
	addSettingFlags, badUsageExitCode, checkSettings, exitWithFindings, findUnknownArguments, givenTextsOf,
} from '../settings/read-settings.js';
import {parseText, parseWholeNumberBetween} from '../settings/setting-parsers.js';
import {programVersion} from '../shared/program-version.js';
import {type Finding} from '../shared/types.js';
import {
	type CommandOutput, failedExitCode, runApply, runCheck, runHistory, runPlan, runRevert, runShow,
} from './declaration-commands.js';
import {OperatorConsole, type ConsoleOptions} from './operator-console.js';
import {OperatorClient, OperatorClientError} from './operator-client.js';
import {operatorSettingDefinitions} from './operator-settings.js';
import {createTerminalConfirm, runPrompt} from './run-prompt.js';

const parseVersion = parseWholeNumberBetween(1, Number.MAX_SAFE_INTEGER);
const parsePlanVersion = parseWholeNumberBetween(0, Number.MAX_SAFE_INTEGER);
const unlimitedCount = Number.POSITIVE_INFINITY;

const output: CommandOutput = {
	line(text) {
		console.log(text);
	},
	problem(text) {
		console.error(text);
	},
};

const program = new Command('savorygauge')
	.description('Checks, plans and applies declarations, shows what is in force, and runs statements of the query language.')
	.version(programVersion)
	.exitOverride(error => {
		process.exit(error.exitCode === 0 ? 0 : badUsageExitCode);
	});
addSettingFlags(program, operatorSettingDefinitions);

/** Checks the arguments and flags of a command, and collects the findings to report them together. */
class CheckedInput {
	readonly #findings: Finding[];

	constructor(readonly command: Command, expectedCount: number) {
		this.#findings = findUnknownArguments(command, expectedCount);
	}

	/** Collects the findings of a check. Read the value only after `exitOnFindings` has returned. */
	collect<Value>(checked: Either<Finding | Finding[], Value>): Either<unknown, Value> {
		checked.ifLeft(found => {
			this.#findings.push(...[found].flat());
		});
		return checked;
	}

	flag<Value>(name: string, parse: (text: string) => Either<string, Value>): Either<unknown, Value> {
		return this.collect(checkText(`--${name}`, this.command.opts<Record<string, string | true>>()[name], parse));
	}

	authorship(): Either<unknown, {author: string; reason: string}> {
		const author = this.flag('author', parseText);
		const reason = this.flag('reason', parseText);
		return author.chain(name => reason.map(text => ({author: name, reason: text})));
	}

	files(): string[] {
		const files = this.command.args.filter(argument => !argument.startsWith('-'));
		if (files.length === 0) {
			this.collect(Left({place: {source: 'flag', name: 'FILE'}, message: 'is missing'}));
		}

		return files;
	}

	version(): Either<unknown, number> {
		const version = this.command.args.find(argument => !argument.startsWith('-'));
		return this.collect(checkText('VERSION', version, parseVersion));
	}

	clients(): Either<unknown, OperatorClient[]> {
		const settings = this.collect(checkSettings(operatorSettingDefinitions, givenTextsOf(this.command, operatorSettingDefinitions)));
		return settings.map(({operatorAddress, operatorKey}) => operatorAddress.map(address => new OperatorClient(address, operatorKey)));
	}

	client(): Either<unknown, OperatorClient> {
		return this.clients().map(clients => clients[0]!);
	}

	/** Reports the findings and ends the process, if there are any. */
	exitOnFindings(): void {
		if (this.#findings.length > 0) {
			exitWithFindings(this.#findings);
		}
	}
}

const runIfValid = async (input: CheckedInput, work: () => Promise<number>): Promise<void> => {
	input.exitOnFindings();
	try {
		process.exitCode = await work();
	} catch (error) {
		if (!(error instanceof OperatorClientError)) {
			throw error;
		}

		output.problem(error.message);
		process.exitCode = failedExitCode;
	}
};

const addCommand = (name: string, description: string): Command => program
	.command(name)
	.description(description)
	.allowUnknownOption()
	.allowExcessArguments()
	.configureHelp({optionTerm: option => option.flags.replace('[', '<').replace(']', '>')});
const addAuthorship = (command: Command): Command => command
	.option('--reason [text]', 'why; recorded in the history')
	.addOption(new Option('--author [name]', 'who').default(userInfo().username));

addCommand('check [file...]', 'check declaration files; all findings are reported with file, line and column')
	.action(async (_files, _options, command: Command) => {
		const input = new CheckedInput(command, unlimitedCount);
		const files = input.files();
		await runIfValid(input, async () => runCheck(files, output));
	});
addCommand('plan [file...]', 'show member by member what applying the files would change')
	.action(async (_files, _options, command: Command) => {
		const input = new CheckedInput(command, unlimitedCount);
		const files = input.files();
		const client = input.client();
		await runIfValid(input, async () => runPlan(files, client.unsafeCoerce(), output));
	});
addAuthorship(addCommand('apply [file...]', 'bring the files into force, unless the configuration has changed since the plan'))
	.option('--against [version]', 'version that the plan was made against')
	.action(async (_files, options: {against?: string}, command: Command) => {
		const input = new CheckedInput(command, unlimitedCount);
		const files = input.files();
		const authorship = input.authorship();
		const against = options.against === undefined ? Right(undefined) : input.flag('against', parsePlanVersion);
		const client = input.client();
		await runIfValid(input, async () => {
			const plannedAgainst = against.unsafeCoerce();
			return runApply(files, {...authorship.unsafeCoerce(), ...(plannedAgainst === undefined ? {} : {plannedAgainst})}, client.unsafeCoerce(), output);
		});
	});
addCommand('history', 'list all accepted changes')
	.action(async (_options, command: Command) => {
		const input = new CheckedInput(command, 0);
		const client = input.client();
		await runIfValid(input, async () => runHistory(client.unsafeCoerce(), output));
	});
addCommand('show [version]', 'show one accepted change')
	.action(async (_version, _options, command: Command) => {
		const input = new CheckedInput(command, 1);
		const version = input.version();
		const client = input.client();
		await runIfValid(input, async () => runShow(version.unsafeCoerce(), client.unsafeCoerce(), output));
	});
addAuthorship(addCommand('revert [version]', 'make a new version with the content of an earlier one'))
	.action(async (_version, _options, command: Command) => {
		const input = new CheckedInput(command, 1);
		const version = input.version();
		const authorship = input.authorship();
		const client = input.client();
		await runIfValid(input, async () => runRevert(version.unsafeCoerce(), authorship.unsafeCoerce(), client.unsafeCoerce(), output));
	});
const addConsoleOptions = (command: Command): Command => command
	.option('--json', 'print JSON for programs in place of tables for people')
	.addOption(new Option('--author [name]', 'who; recorded with each command').default(userInfo().username));
const consoleOptionsOf = (input: CheckedInput): Either<unknown, ConsoleOptions> => {
	const {json = false, yes = false} = input.command.opts<{json?: boolean; yes?: boolean}>();
	return input.flag('author', parseText).map(author => ({author, json, yes}));
};

addConsoleOptions(addCommand('ask [statement]', 'run one statement of the query language, a read or a command; see docs/LANGUAGE.md'))
	.option('--yes', 'carry out a command without confirmation')
	.action(async (_statement, _options, command: Command) => {
		const input = new CheckedInput(command, 1);
		const statement = input.collect(checkText('STATEMENT', command.args.find(argument => !argument.startsWith('-')), parseText));
		const options = consoleOptionsOf(input);
		const clients = input.clients();
		await runIfValid(input, async () => new OperatorConsole(clients.unsafeCoerce(), options.unsafeCoerce(), output).execute(statement.unsafeCoerce(), createTerminalConfirm()));
	});
addConsoleOptions(addCommand('prompt', 'run statements line by line, with history and completion by the tab key'))
	.action(async (_options, command: Command) => {
		const input = new CheckedInput(command, 0);
		const options = consoleOptionsOf(input);
		const clients = input.clients();
		await runIfValid(input, async () => runPrompt(new OperatorConsole(clients.unsafeCoerce(), options.unsafeCoerce(), output), {input: process.stdin, output: process.stdout}));
	});
await program.parseAsync();
