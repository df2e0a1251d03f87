import {type Either, Left, Right} from 'purify-ts/Either';
import {applyChange} from '../protocol/configuration/apply-change.js';
import {type ConfigurationState, emptyConfiguration} from '../protocol/configuration/configuration-state.js';
import {type ConfigurationChange} from '../shared/types.js';

/**
 * Rebuilds the configuration of an earlier version from the accepted changes.
 *
 * @param changes - All accepted changes, oldest first.
 * @param version - The version to rebuild.
 * @returns The configuration, or why it cannot be rebuilt: the version does not exist, or the chain of digests is broken.
 */
export function configurationAt(changes: readonly ConfigurationChange[], version: number): Either<string, ConfigurationState> {
	let state = emptyConfiguration;
	for (const change of changes) {
		if (change.version > version) {
			break;
		}

		const next = applyChange(state, change);
		if (next.isLeft()) {
			return Left(`version ${change.version} does not follow version ${state.version} (${next.extract().kind})`);
		}

		state = next.unsafeCoerce();
	}

	return state.version === version ? Right(state) : Left(`there is no version ${version}`);
}
