/**
 * Reads the settings of a program from flags and environment variables. A flag takes precedence over its variable, and the
 * variable over the default. All findings are reported together, so that one start shows all of them.
 */
import process from 'node:process';
import {type Command, Option} from 'commander';
import {type Either, Left, Right} from 'purify-ts/Either';
import {formatFinding} from '../shared/format-finding.js';
import {type Finding} from '../shared/types.js';
import {
	type SettingDefinition, type SettingDefinitions, type SettingValues,
} from './setting-definition.js';
import {variableNameOf} from './variable-name-of.js';

/** The exit status of a program that is started with invalid settings or arguments. */
export const badUsageExitCode = 2;

/** The texts given for settings: `flags` by flag without its dashes, `environment` by the name of the variable. */
export type GivenTexts = {
	flags: Record<string, string | true | undefined>;
	environment: Record<string, string | undefined>;
};

/**
 * Adds a flag for each setting to a command of `commander`.
 *
 * Unknown arguments do not end the parse, so that `findUnknownArguments` can report them together with all other findings.
 *
 * @param command - The command, which is changed.
 * @param definitions - The settings.
 */
export function addSettingFlags(command: Command, definitions: SettingDefinitions): void {
	command.allowUnknownOption().allowExcessArguments();
	command.configureHelp({optionTerm: option => option.flags.replace('[', '<').replace(']', '>')});
	for (const definition of Object.values(definitions)) {
		const variable = variableNameOf(definition.flag);
		const fallback = definition.defaultText === undefined ? 'required' : `default: "${definition.defaultText}"`;
		// The value is optional for the parser only, so that a missing value is reported together with all other findings.
		command.addOption(new Option(`--${definition.flag} [${definition.valueName}]`, `${definition.description} (${variable}; ${fallback})`));
	}
}

/**
 * Finds unknown flags and excess arguments.
 *
 * @param command - The parsed command.
 * @param expectedCount - The number of arguments other than flags that the command takes.
 * @returns One finding for each.
 */
export function findUnknownArguments(command: Command, expectedCount = 0): Finding[] {
	const unknownFlags = command.args.filter(argument => argument.startsWith('-'));
	const excessArguments = command.args.filter(argument => !argument.startsWith('-')).slice(expectedCount);
	return [...unknownFlags, ...excessArguments].map(argument => ({
		place: {source: 'flag', name: argument}, message: argument.startsWith('-') ? 'unknown flag' : 'unexpected argument',
	}));
}

/**
 * Returns the texts of a parsed command's flags and of the environment.
 *
 * @param command - The parsed command.
 * @param definitions - The settings of the program.
 * @returns The texts; a flag without a value has the value `true`.
 */
export function givenTextsOf(command: Command, definitions: SettingDefinitions): GivenTexts {
	const options = command.optsWithGlobals<Record<string, string | true | undefined>>();
	const flags = Object.fromEntries(Object.values(definitions).map(({flag}) => [flag, options[attributeNameOf(flag)]]));
	return {flags, environment: process.env};
}

/** Writes findings to standard error and ends the process with status 2. */
export function exitWithFindings(findings: readonly Finding[]): never {
	for (const finding of findings) {
		console.error(formatFinding(finding));
	}

	// eslint-disable-next-line unicorn/no-process-exit -- Only the programs' main modules call this.
	return process.exit(badUsageExitCode);
}

/**
 * Parses the given texts by the definitions.
 *
 * @param definitions - The settings of the program.
 * @param given - The texts from flags and environment.
 * @returns All values, or all findings.
 */
export function checkSettings<Definitions extends SettingDefinitions>(definitions: Definitions, given: GivenTexts): Either<Finding[], SettingValues<Definitions>> {
	const findings: Finding[] = [];
	const values: Record<string, unknown> = {};
	for (const [name, definition] of Object.entries(definitions)) {
		checkSetting(definition, given).caseOf({
			Left(finding) {
				findings.push(finding);
			},
			Right(value) {
				values[name] = value;
			},
		});
	}

	return findings.length > 0 ? Left(findings) : Right(values as SettingValues<Definitions>);
}

function checkSetting(definition: SettingDefinition<unknown>, given: GivenTexts): Either<Finding, unknown> {
	const variable = variableNameOf(definition.flag);
	const fromFlag = given.flags[definition.flag];
	const fromEnvironment = given.environment[variable];
	const place = fromFlag === undefined && fromEnvironment !== undefined
		? {source: 'environment' as const, name: variable}
		: {source: 'flag' as const, name: `--${definition.flag}`};
	if (fromFlag === true) {
		return Left({place, message: 'needs a value'});
	}

	const text = fromFlag ?? fromEnvironment ?? definition.defaultText;
	if (text === undefined) {
		return Left({place, message: `is missing; give it here or in ${variable}`});
	}

	return definition.parse(text).mapLeft(message => ({place, message: definition.secret ? 'is not accepted' : message}));
}

/**
 * Reads the settings of a parsed command, or reports all findings and ends the process with status 2.
 *
 * @param command - The parsed command.
 * @param definitions - The settings of the program.
 * @returns The values.
 */
export function readSettingsOrExit<Definitions extends SettingDefinitions>(command: Command, definitions: Definitions): SettingValues<Definitions> {
	const unknownArguments = findUnknownArguments(command);
	const checked = checkSettings(definitions, givenTextsOf(command, definitions));
	if (unknownArguments.length > 0 || checked.isLeft()) {
		return exitWithFindings([...unknownArguments, ...checked.swap().orDefault([])]);
	}

	return checked.unsafeCoerce();
}

function attributeNameOf(flag: string): string {
	return flag.replaceAll(/-([a-z])/gv, (_, letter: string) => letter.toUpperCase());
}
