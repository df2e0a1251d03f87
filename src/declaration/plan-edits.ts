import {type ConfigurationState, itemsOfKind} from '../protocol/configuration/configuration-state.js';
import {canonicalJson} from '../shared/canonical-json.js';
import {type ConfigurationEdit, type ConfigurationItem, type JsonValue} from '../shared/types.js';
import {type Declaration} from './declaration-schema.js';

/** The kinds of items that files declare. Drains are excluded: operators' commands set and remove them, and no plan does. */
const declaredKinds = ['workspace', 'service', 'rule', 'limit'] as const;

/**
 * Computes the edits that bring a configuration into line with a declaration.
 *
 * @param state - The configuration in force.
 * @param declaration - The complete declaration: items that it does not list are removed.
 * @returns The edits: all sets, followed by all removals, each sorted by kind and name.
 */
export function planEdits(state: ConfigurationState, declaration: Declaration): ConfigurationEdit[] {
	const wanted: Record<(typeof declaredKinds)[number], Array<{name: string}>> = {
		workspace: declaration.workspaces,
		service: declaration.services,
		rule: declaration.rules,
		limit: declaration.limits,
	};
	const sets: ConfigurationEdit[] = [];
	const removes: ConfigurationEdit[] = [];
	for (const kind of declaredKinds) {
		const existing = itemsOfKind(state, kind);
		const items = wanted[kind].toSorted((left, right) => left.name < right.name ? -1 : 1);
		for (const item of items) {
			if (!isSame(existing.get(item.name), item)) {
				sets.push(setEdit(kind, item));
			}
		}

		const wantedNames = new Set(items.map(item => item.name));
		const removedNames = [...existing.keys()].filter(name => !wantedNames.has(name)).toSorted();
		removes.push(...removedNames.map(name => ({action: 'remove' as const, kind, name})));
	}

	return [...sets, ...removes];
}

/**
 * Computes the edits that restore an earlier configuration.
 *
 * @param state - The configuration in force.
 * @param earlier - The configuration to restore.
 * @returns The edits, which make a new version with the earlier declarations. Drains stay as they are: otherwise reverting
 *   an unrelated item could send requests to an endpoint that is drained now.
 */
export function planRevert(state: ConfigurationState, earlier: ConfigurationState): ConfigurationEdit[] {
	const sets: ConfigurationEdit[] = [];
	const removes: ConfigurationEdit[] = [];
	for (const kind of declaredKinds) {
		const existing = itemsOfKind(state, kind);
		const wanted = itemsOfKind(earlier, kind);
		const changed = [...wanted.values()].filter(item => !isSame(existing.get(item.name), item));
		sets.push(...changed.map(item => setEdit(kind, item)));
		const removedNames = [...existing.keys()].filter(name => !wanted.has(name));
		removes.push(...removedNames.map(name => ({action: 'remove' as const, kind, name})));
	}

	return [...sets, ...removes];
}

function setEdit(kind: ConfigurationItem['kind'], item: ConfigurationItem['item']): ConfigurationEdit {
	const edit = {action: 'set', kind, item};
	return edit as ConfigurationEdit;
}

function isSame(left: unknown, right: unknown): boolean {
	return left !== undefined && canonicalJson(left as JsonValue) === canonicalJson(right as JsonValue);
}
