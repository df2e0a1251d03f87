/**
 * The configuration as one instance holds it. Changes form a chain of digests, so the state only ever moves to the
 * change that follows it, or to a snapshot with a higher version; it never goes back.
 */
import {
	type ConfigurationItem, type ConfigurationKind, type DrainItem, type LimitItem, type RuleItem, type ServiceItem, type WorkspaceItem,
} from '../../shared/types.js';

/** A configuration with its version. It is never changed in place. */
export type ConfigurationState = {
	version: number;
	digest: string;
	workspaces: ReadonlyMap<string, WorkspaceItem>;
	services: ReadonlyMap<string, ServiceItem>;
	rules: ReadonlyMap<string, RuleItem>;
	limits: ReadonlyMap<string, LimitItem>;
	drains: ReadonlyMap<string, DrainItem>;
};

/** The digest before the first change. */
export const emptyDigest = '0'.repeat(64);

/** The configuration before the first change. */
export const emptyConfiguration: ConfigurationState = {
	version: 0,
	digest: emptyDigest,
	workspaces: new Map(),
	services: new Map(),
	rules: new Map(),
	limits: new Map(),
	drains: new Map(),
};

const memberOfKind = {
	workspace: 'workspaces', service: 'services', rule: 'rules', limit: 'limits', drain: 'drains',
} as const satisfies Record<ConfigurationKind, keyof ConfigurationState>;

/** All kinds of declared things. Whatever carries a whole configuration goes through these, so that none is left out. */
export const configurationKinds = Object.keys(memberOfKind) as ConfigurationKind[];

/**
 * Gives the items of one kind.
 *
 * @param state - The configuration.
 * @param kind - Which items.
 * @returns The items by name.
 */
export function itemsOfKind(state: ConfigurationState, kind: ConfigurationKind): ReadonlyMap<string, ConfigurationItem['item']> {
	return state[memberOfKind[kind]];
}

/**
 * Names the member of the state that holds a kind.
 *
 * @param kind - The kind.
 * @returns The member's name.
 */
export function memberNameOf(kind: ConfigurationKind): 'workspaces' | 'services' | 'rules' | 'limits' | 'drains' {
	return memberOfKind[kind];
}
