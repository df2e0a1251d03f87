/**
 * Holds the configuration in force at this instance. Its version only increases, whether a change comes from the table
 * service, a peer or an operator.
 */
import {type Either} from 'purify-ts/Either';
import {applyChange, type ApplyFailure} from '../protocol/configuration/apply-change.js';
import {type ConfigurationState, emptyConfiguration} from '../protocol/configuration/configuration-state.js';
import {StartGate} from '../protocol/configuration/start-gate.js';
import {type ConfigurationChange} from '../shared/types.js';

type Listener = (state: ConfigurationState, change: ConfigurationChange | undefined) => void;

export class ConfigurationHolder {
	/** Open once this process may serve requests with the configuration that it holds. */
	readonly startGate = new StartGate();
	#state: ConfigurationState = emptyConfiguration;
	readonly #listeners: Listener[] = [];

	get state(): ConfigurationState {
		return this.#state;
	}

	/** Adds a listener that is called after each update of the state; its change is `undefined` if a snapshot was applied. */
	onChange(listener: Listener): void {
		this.#listeners.push(listener);
	}

	/**
	 * Brings a whole configuration into force if it is newer.
	 *
	 * @param state - The state of a verified snapshot.
	 * @returns True if it was brought into force.
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
	 * @param change - A change from the table service or a peer.
	 * @returns The new state, or why the change cannot be applied to the current state.
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
