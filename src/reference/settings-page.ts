/** Generates the text of docs/SETTINGS.md. */
import {type SettingDefinition, type SettingDefinitions} from '../settings/setting-definition.js';
import {variableNameOf} from '../settings/variable-name-of.js';
import {clientLimitsSection} from './client-limits-section.js';

/**
 * Generates the page.
 *
 * @param settingsOfPrograms - The definitions by the name of the program, in the order of the page.
 */
export function settingsPage(settingsOfPrograms: Record<string, SettingDefinitions>): string {
	const sections = Object.entries(settingsOfPrograms).flatMap(([program, definitions]) => [
		`## ${program}`,
		'',
		'| flag | variable | default | meaning |',
		'|---|---|---|---|',
		...Object.values(definitions).map(definition => settingLine(definition)),
		'',
	]);
	return [
		'# Settings',
		'',
		'Made from the definitions in the code by `npm run docs:settings`; a test checks that it is up to date.',
		'',
		'Each setting is a flag and an environment variable. A flag goes before its variable, and the variable before the',
		'default. All settings are checked at start: everything that is wrong is reported together, each with its flag or',
		'variable, the exit status is 2, and nothing was started. A secret is never printed; give it by its variable, since',
		'flags are seen in the list of processes.',
		'',
		...sections,
		...clientLimitsSection(),
	].join('\n');
}

function settingLine({flag, valueName, defaultText, description, secret}: SettingDefinition<unknown>): string {
	const fallback = defaultText === undefined ? '(required)' : `\`${defaultText || '(empty)'}\``;
	return `| \`--${flag} <${valueName}>\` | \`${variableNameOf(flag)}\` | ${fallback} | ${description}${secret ? ' (a secret)' : ''} |`;
}
