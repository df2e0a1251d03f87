import {type ConfigurationState, itemsOfKind} from '../protocol/configuration/configuration-state.js';
import {canonicalJson} from '../shared/canonical-json.js';
import {type ConfigurationEdit, type ConfigurationItem, type JsonValue} from '../shared/types.js';
import {type Declaration} from './declaration-schema.js';

/** What files declare. Drains are left out: they come and go by operators' acts, and no plan ends one. */
const kinds = ['workspace', 'service', 'rule', 'limit'] as const;

/**
 * Works out the edits that turn a configuration into a declaration.
 *
 * @param state - The configuration in force.
 * @param declaration - What is declared; it is the whole wish, so what it leaves out is removed.
 * @returns The edits: first what is set, then what is removed, each in order of kind and name.
 */
export function planEdits(state: ConfigurationState, declaration: Declaration): ConfigurationEdit[] {
	const wanted: Record<(typeof kinds)[number], Array<{name: string}>> = {
		workspace: declaration.workspaces,
		service: declaration.services,
		rule: declaration.rules,
		limit: declaration.limits,
	};
	const sets: ConfigurationEdit[] = [];
	const removes: ConfigurationEdit[] = [];
	for (const kind of kinds) {
		const existing = itemsOfKind(state, kind);
		const items = wanted[kind].toSorted((left, right) => left.name < right.name ? -1 : 1);
		for (const item of items) {
			if (!isSame(existing.get(item.name), item)) {
				sets.push(setOf(kind, item));
			}
		}

		const wantedNames = new Set(items.map(item => item.name));
		const gone = [...existing.keys()].filter(name => !wantedNames.has(name)).toSorted();
		removes.push(...gone.map(name => ({action: 'remove' as const, kind, name})));
	}

	return [...sets, ...removes];
}

/**
 * Works out the edits that take a configuration back to what it was.
 *
 * @param state - The configuration in force.
 * @param earlier - An earlier one.
 * @returns The edits; applied they make a new version with the earlier declarations. Drains stay as they are: an
 *   endpoint that is drained now would otherwise get work because of an old version of something else.
 */
export function planRevert(state: ConfigurationState, earlier: ConfigurationState): ConfigurationEdit[] {
	const sets: ConfigurationEdit[] = [];
	const removes: ConfigurationEdit[] = [];
	for (const kind of kinds) {
		const existing = itemsOfKind(state, kind);
		const wanted = itemsOfKind(earlier, kind);
		const changed = [...wanted.values()].filter(item => !isSame(existing.get(item.name), item));
		sets.push(...changed.map(item => setOf(kind, item)));
		const gone = [...existing.keys()].filter(name => !wanted.has(name));
		removes.push(...gone.map(name => ({action: 'remove' as const, kind, name})));
	}

	return [...sets, ...removes];
}

function setOf(kind: ConfigurationItem['kind'], item: ConfigurationItem['item']): ConfigurationEdit {
	const edit = {action: 'set', kind, item};
	return edit as ConfigurationEdit;
}

function isSame(left: unknown, right: unknown): boolean {
	return left !== undefined && canonicalJson(left as JsonValue) === canonicalJson(right as JsonValue);
}
