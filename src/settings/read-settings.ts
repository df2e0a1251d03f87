/**
 * Reads the settings of a program from flags and environment variables. A flag goes before its variable, and the
 * variable before the default. All that is wrong is reported together, so that one start shows all of it.
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

/** The exit status of a program that was started with bad settings or arguments. */
export const badUsageExitCode = 2;

/** The texts given for settings, by flag without its dashes. */
export type GivenTexts = {
	flags: Record<string, string | undefined>;
	environment: Record<string, string | undefined>;
};

/**
 * Adds the flags of some settings to a command.
 *
 * @param command - The command of `commander`; it is changed.
 * @param definitions - The settings.
 */
export function addSettingFlags(command: Command, definitions: SettingDefinitions): void {
	for (const definition of Object.values(definitions)) {
		const variable = variableNameOf(definition.flag);
		const fallback = definition.defaultText === undefined ? 'required' : `default: "${definition.defaultText}"`;
		command.addOption(new Option(`--${definition.flag} <${definition.valueName}>`, `${definition.description} (${variable}; ${fallback})`));
	}
}

/**
 * Checks the given texts against the definitions.
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
	const options = command.optsWithGlobals<Record<string, string | undefined>>();
	const flags = Object.fromEntries(Object.values(definitions).map(({flag}) => [flag, options[attributeNameOf(flag)]]));
	return checkSettings(definitions, {flags, environment: process.env}).caseOf({
		Left(findings) {
			for (const finding of findings) {
				console.error(formatFinding(finding));
			}

			// eslint-disable-next-line unicorn/no-process-exit -- Only the programs' main modules call this.
			return process.exit(badUsageExitCode);
		},
		Right: values => values,
	});
}

function attributeNameOf(flag: string): string {
	return flag.replaceAll(/-([a-z])/gv, (_, letter: string) => letter.toUpperCase());
}
