import {type Either, Left, Right} from 'purify-ts/Either';
import {type ConfigurationChange, type ConfigurationEdit} from '../../shared/types.js';
import {changeDigest} from './change-digest.js';
import {configurationKinds, type ConfigurationState, memberNameOf} from './configuration-state.js';

/**
 * Why a change was not applied. `old`: it was applied before. `gap`: the version `needed` must be applied first.
 * `wrong-digest`: the change is corrupt or belongs to another chain.
 */
export type ApplyFailure
	= | {kind: 'old'}
		| {kind: 'gap'; needed: number}
		| {kind: 'wrong-digest'};

/**
 * Applies the next change to a configuration.
 *
 * @param state - The configuration in force; it is not changed.
 * @param change - A change, from the table or from a peer.
 * @returns The new configuration, or why the change was not applied.
 */
export function applyChange(state: ConfigurationState, change: ConfigurationChange): Either<ApplyFailure, ConfigurationState> {
	if (change.version <= state.version) {
		return Left({kind: 'old'});
	}

	if (change.version > state.version + 1) {
		return Left({kind: 'gap', needed: state.version + 1});
	}

	// A peer with corrupt memory could send edits that were not accepted, and two instances would route differently at the same
	// version. The chain of digests prevents that.
	if (change.previousDigest !== state.digest || changeDigest(change) !== change.digest) {
		return Left({kind: 'wrong-digest'});
	}

	return Right({...applyEdits(state, change.edits), version: change.version, digest: change.digest});
}

/**
 * Applies edits and leaves the version and the digest as they are.
 *
 * @param state - The configuration; it is not changed.
 * @param edits - The edits, in order.
 * @returns The configuration with the edits.
 */
export function applyEdits(state: ConfigurationState, edits: readonly ConfigurationEdit[]): ConfigurationState {
	const copies = {
		workspaces: new Map(state.workspaces),
		services: new Map(state.services),
		rules: new Map(state.rules),
		limits: new Map(state.limits),
		drains: new Map(state.drains),
	};
	// During a rolling upgrade the newer release may have accepted an edit of a kind that this one does not know. Failing on it
	// would stop this instance from following the configuration. The edit is skipped; the chain of digests stays valid because
	// it covers the edits, not their effect.
	for (const edit of edits.filter(({kind}) => configurationKinds.includes(kind))) {
		const items = copies[memberNameOf(edit.kind)] as Map<string, unknown>;
		if (edit.action === 'set') {
			items.set(edit.item.name, edit.item);
		} else {
			items.delete(edit.name);
		}
	}

	return {...state, ...copies};
}
