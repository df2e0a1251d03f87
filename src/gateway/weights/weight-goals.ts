/** The weights that models are to be served with, and since when. */
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {type NamedWeights} from '../watchers/catalog.js';

/** When weights were named, as far as an instance can tell. */
export type NamingTime = {
	/** When this instance heard of them. */
	heardAt: Moment;
	/** No later than their naming; absent where they may be of any age, as for a process that has just started. */
	namedSince: Moment | undefined;
};

/** A goal. */
export type WeightGoal = NamedWeights & NamingTime;

export class WeightGoals {
	readonly #goals = new Map<string, WeightGoal>();
	readonly #boundMilliseconds: number;

	/** @param boundMilliseconds - Behind it no run may begin on older weights, counted from the naming. */
	constructor(boundMilliseconds: number) {
		this.#boundMilliseconds = boundMilliseconds;
	}

	/** Takes a goal unless a higher version is known; true if it is new. */
	name(weights: NamedWeights, time: NamingTime): boolean {
		const known = this.#goals.get(weights.model);
		if (known !== undefined && known.version >= weights.version) {
			return false;
		}

		this.#goals.set(weights.model, {...weights, ...time});
		return true;
	}

	goalFor(model: string): WeightGoal | undefined {
		return this.#goals.get(model);
	}

	/** For how many milliseconds runs may still begin on weights that are older than a goal; 0 or less if they may not. */
	leftOf({namedSince}: WeightGoal, now: Moment): number {
		return namedSince === undefined ? 0 : this.#boundMilliseconds - longestElapsed(namedSince, now);
	}

	all(): WeightGoal[] {
		return [...this.#goals.values()];
	}
}
