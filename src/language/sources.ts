/** The sources that the operators' language reads, each with its fields in the order of the table's columns. */
import {type Row, type SourceName} from './statement.js';

/** The fields of each source. docs/LANGUAGE.md lists them. */
export const fieldsOfSource = {
	endpoints: ['name', 'kind', 'dataCentre', 'service', 'model', 'weightVersion', 'state', 'drained', 'running', 'waiting', 'heardMillisecondsAgo', 'instance'],
	workspaces: ['name', 'priority', 'share', 'services', 'keys'],
	services: ['name', 'kind', 'model', 'weightVersion', 'paused', 'neverTwice'],
	requests: ['request', 'workspace', 'service', 'priority', 'stage', 'ageMilliseconds', 'instance'],
	waiting: ['request', 'workspace', 'service', 'priority', 'ageMilliseconds', 'instance'],
	claims: ['workspace', 'service', 'key', 'stage', 'holder', 'leaseMilliseconds', 'version'],
	cache: ['endpoint', 'service', 'dataCentre', 'usedTokens', 'capacityTokens', 'usedShare', 'instance'],
	instances: ['name', 'role', 'dataCentre', 'service', 'state', 'address'],
	peers: ['name', 'dataCentre', 'status', 'listed', 'changedSecondsAgo', 'linked', 'instance'],
	configuration: ['instance', 'dataCentre', 'version', 'digest', 'workspaces', 'services', 'rules', 'limits', 'drains'],
	acts: ['at', 'author', 'act', 'reason', 'outcome', 'instance'],
} as const satisfies Record<SourceName, readonly string[]>;

/** The sources for which each instance returns only its own rows; the others give the same rows at every instance. */
export const sourcesPerInstance: ReadonlySet<SourceName> = new Set(['requests', 'waiting', 'configuration']);

/** The rows of one source at one time. `notes` name what could not be read. */
export type SourceSnapshot = {
	rows: Row[];
	notes: string[];
};
