/**
 * The configuration that this instance has in force. It only moves forward, whoever brings the change: the table or a
 * peer.
 */
import {type Either} from 'purify-ts/Either';
import {applyChange, type ApplyFailure} from '../protocol/configuration/apply-change.js';
import {type ConfigurationState, emptyConfiguration} from '../protocol/configuration/configuration-state.js';
import {StartGate} from '../protocol/configuration/start-gate.js';
import {type ConfigurationChange} from '../shared/types.js';

type Listener = (state: ConfigurationState, change: ConfigurationChange | undefined) => void;

export class ConfigurationHolder {
	/** Opens when this process may serve by what it holds. */
	readonly startGate = new StartGate();
	#state: ConfigurationState = emptyConfiguration;
	readonly #listeners: Listener[] = [];

	get state(): ConfigurationState {
		return this.#state;
	}

	/** Calls a listener after each change that came into force here; without the change when it was a whole snapshot. */
	onChange(listener: Listener): void {
		this.#listeners.push(listener);
	}

	/**
	 * Brings a whole configuration into force, if it is newer.
	 *
	 * @param state - A snapshot that was checked.
	 * @returns True if it is in force now.
	 */
	adopt(state: ConfigurationState): boolean {
		if (state.version <= this.#state.version) {
			return false;
		}

		this.#state = state;
		for (const listener of this.#listeners) {
			listener(state, undefined);
		}

		return true;
	}

	/**
	 * Brings a change into force.
	 *
	 * @param change - A change from the table or a peer.
	 * @returns The new state, or why the change does not follow.
	 */
	offer(change: ConfigurationChange): Either<ApplyFailure, ConfigurationState> {
		return applyChange(this.#state, change).ifRight(state => {
			this.#state = state;
			for (const listener of this.#listeners) {
				listener(state, change);
			}
		});
	}
}
