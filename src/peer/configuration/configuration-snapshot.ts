/** Encodes a whole configuration for an instance whose missing changes its peers no longer retain. */
import {
	configurationKinds, type ConfigurationState, emptyConfiguration, itemsOfKind,
} from '../../protocol/configuration/configuration-state.js';
import {applyEdits} from '../../protocol/configuration/apply-change.js';
import {canonicalJson} from '../../shared/canonical-json.js';
import {digestOf} from '../../shared/digest-of.js';
import {type ConfigurationItem, type JsonValue} from '../../shared/types.js';
import {type ConfigurationSnapshot} from '../message/peer-message.js';

/**
 * Encodes a configuration as a snapshot.
 *
 * @param state - The configuration in force.
 * @returns The snapshot.
 */
export function snapshotOf(state: ConfigurationState): ConfigurationSnapshot {
	const items = configurationKinds.flatMap(kind => [...itemsOfKind(state, kind).values()].map(item => ({kind, item}))) as ConfigurationItem[];
	const {version, digest} = state;
	return {
		version, digest, items, contentDigest: contentDigestOf({version, digest, items}),
	};
}

/**
 * Decodes a snapshot.
 *
 * @param snapshot - The snapshot as a peer sent it.
 * @returns The configuration; `undefined` if the snapshot is damaged.
 */
export function stateOfSnapshot(snapshot: ConfigurationSnapshot): ConfigurationState | undefined {
	const {version, digest, items, contentDigest} = snapshot;
	if (contentDigestOf({version, digest, items}) !== contentDigest) {
		return undefined;
	}

	const edits = items.map(item => ({action: 'set' as const, ...item}));
	return {...applyEdits(emptyConfiguration, edits), version, digest};
}

function contentDigestOf(content: Omit<ConfigurationSnapshot, 'contentDigest'>): string {
	return digestOf(canonicalJson(content));
}
