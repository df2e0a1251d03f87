/** Configuration changes of ordinary size for benchmarks and tests. */
import {changeDigest} from '../protocol/configuration/change-digest.js';
import {type ConfigurationState} from '../protocol/configuration/configuration-state.js';
import {type ConfigurationChange} from '../shared/types.js';

/**
 * Creates the next change, which sets one workspace.
 *
 * @param state - The configuration that the change is based on.
 * @param number - Selects the workspace.
 * @returns The change.
 */
export function changeOf(state: ConfigurationState, number: number): ConfigurationChange {
	const change: Omit<ConfigurationChange, 'digest'> = {
		version: state.version + 1,
		previousDigest: state.digest,
		author: 'bench',
		reason: `change ${number}`,
		acceptedAt: 0,
		edits: [{
			action: 'set',
			kind: 'workspace',
			item: {
				name: `workspace-${number % 1800}`, keyDigests: ['a'.repeat(64)], priority: 'normal', share: 1, services: ['permits', 'bookings'],
			},
		}],
	};
	return {...change, digest: changeDigest(change)};
}
