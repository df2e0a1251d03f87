import {type ConfigurationState, itemsOfKind} from '../protocol/configuration/configuration-state.js';
import {canonicalJson} from '../shared/canonical-json.js';
import {type ConfigurationEdit, type JsonValue} from '../shared/types.js';

type Members = Record<string, JsonValue | undefined>;

/**
 * Formats an edit as one line.
 *
 * @param edit - The edit.
 * @returns For example `set service permit-model`.
 */
export function formatEdit(edit: ConfigurationEdit): string {
	return edit.action === 'set' ? `set ${edit.kind} ${edit.item.name}` : `remove ${edit.kind} ${edit.name}`;
}

/**
 * Describes member by member what an edit changes.
 *
 * @param state - The configuration before the edit.
 * @param edit - The edit.
 * @returns A line with `add`, `change` or `remove`, kind and name, followed by an indented line for each member that differs.
 * @example
 * // ['change workspace quay', '  share: 1 -> 2']
 */
export function describeEdit(state: ConfigurationState, edit: ConfigurationEdit): string[] {
	if (edit.action === 'remove') {
		return [`remove ${edit.kind} ${edit.name}`];
	}

	const existing = itemsOfKind(state, edit.kind).get(edit.item.name) as Members | undefined;
	const wanted = edit.item as unknown as Members;
	const names = [...new Set([...Object.keys(existing ?? {}), ...Object.keys(wanted)])].filter(name => name !== 'name');
	const lines = names.flatMap(name => describeMember(name, existing?.[name], wanted[name]));
	return [`${existing === undefined ? 'add' : 'change'} ${edit.kind} ${edit.item.name}`, ...lines.map(line => `  ${line}`)];
}

function describeMember(name: string, before: JsonValue | undefined, after: JsonValue | undefined): string[] {
	if (textOf(before) === textOf(after)) {
		return [];
	}

	if (Array.isArray(before) && Array.isArray(after)) {
		const beforeTexts = before.map(element => textOf(element));
		const afterTexts = after.map(element => textOf(element));
		const removed = beforeTexts.filter(text => !afterTexts.includes(text)).map(text => `-${text}`);
		const added = afterTexts.filter(text => !beforeTexts.includes(text)).map(text => `+${text}`);
		const differences = [...removed, ...added];
		return [`${name}: ${differences.length === 0 ? 'order changed' : differences.join(' ')}`];
	}

	return [before === undefined ? `${name}: ${textOf(after)}` : `${name}: ${textOf(before)} -> ${textOf(after)}`];
}

function textOf(value: JsonValue | undefined): string {
	if (value === undefined) {
		return '(none)';
	}

	return typeof value === 'string' ? value : canonicalJson(value);
}
