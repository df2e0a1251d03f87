/** The pages docs/SETTINGS.md and docs/METRICS.md, made from the definitions that the programs themselves use. */
import {entrySettingDefinitions} from '../entry/entry-settings.js';
import {metricDefinitions} from '../observability/metrics.js';
import {operatorSettingDefinitions} from '../operator/operator-settings.js';
import {timelineSettingDefinitions} from '../timeline/timeline-settings.js';
import {type SettingDefinition, type SettingDefinitions} from './setting-definition.js';
import {variableNameOf} from './variable-name-of.js';

const settingsOfPrograms: Record<string, SettingDefinitions> = {
	'savorygauge-entry': entrySettingDefinitions,
	savorygauge: operatorSettingDefinitions,
	'savorygauge-timeline': timelineSettingDefinitions,
};

/**
 * Writes docs/SETTINGS.md.
 *
 * @returns The page.
 */
export function settingsPage(): string {
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
	].join('\n');
}

/**
 * Writes docs/METRICS.md.
 *
 * @returns The page.
 */
export function metricsPage(): string {
	const lines = Object.entries(metricDefinitions).map(([name, {kind, unit, tags, description}]) =>
		`| \`savorygauge.${name}\` | ${kind} | ${unit} | ${tags.join(', ') || '-'} | ${description} |`);
	return [
		'# Metrics',
		'',
		'Made from the definitions in the code by `npm run docs:settings`; a test checks that it is up to date.',
		'',
		'Metrics go out by the StatsD protocol over UDP to `--metrics-address`. Each carries the tags `instance` and',
		'`data_centre` besides those listed. No tag holds a prompt, a key or the name of a workspace.',
		'',
		'| name | kind | unit | tags | meaning |',
		'|---|---|---|---|---|',
		...lines,
		'',
	].join('\n');
}

function settingLine({flag, valueName, defaultText, description, secret}: SettingDefinition<unknown>): string {
	const fallback = defaultText === undefined ? '(required)' : `\`${defaultText || '(empty)'}\``;
	return `| \`--${flag} <${valueName}>\` | \`${variableNameOf(flag)}\` | ${fallback} | ${description}${secret ? ' (a secret)' : ''} |`;
}
