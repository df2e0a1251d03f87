/**
 * The configuration that one instance holds. Changes form a chain of digests, so the state advances only by the next change or
 * to a snapshot with a higher version, and never goes back.
 */
import {
	type ConfigurationItem, type ConfigurationKind, type DrainItem, type LimitItem, type RuleItem, type ServiceItem, type WorkspaceItem,
} from '../../shared/types.js';

/** A configuration with its version; immutable. */
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

/** All kinds of declared items. Code that copies or sends a whole configuration iterates over these, so that none is missed. */
export const configurationKinds = Object.keys(memberOfKind) as ConfigurationKind[];

/**
 * Returns the items of one kind.
 *
 * @param state - The configuration.
 * @param kind - The kind.
 * @returns The items by name.
 */
export function itemsOfKind(state: ConfigurationState, kind: ConfigurationKind): ReadonlyMap<string, ConfigurationItem['item']> {
	return state[memberOfKind[kind]];
}

/**
 * Returns the name of the state's member that holds the items of a kind.
 *
 * @param kind - The kind.
 * @returns The member's name.
 */
export function memberNameOf(kind: ConfigurationKind): 'workspaces' | 'services' | 'rules' | 'limits' | 'drains' {
	return memberOfKind[kind];
}
