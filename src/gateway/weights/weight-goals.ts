/** The weights that models are to be served with, and since when this instance has known. */
import {type NamedWeights} from '../watchers/catalog.js';

/** A goal. `namedAt` is when this instance heard of it, in milliseconds of the steady clock. */
export type WeightGoal = NamedWeights & {namedAt: number};

export class WeightGoals {
	readonly #goals = new Map<string, WeightGoal>();

	/** Takes a goal unless a higher version is known; true if it is new. */
	name(weights: NamedWeights, now: number): boolean {
		const known = this.#goals.get(weights.model);
		if (known !== undefined && known.version >= weights.version) {
			return false;
		}

		this.#goals.set(weights.model, {...weights, namedAt: now});
		return true;
	}

	goalFor(model: string): WeightGoal | undefined {
		return this.#goals.get(model);
	}

	all(): WeightGoal[] {
		return [...this.#goals.values()];
	}
}
