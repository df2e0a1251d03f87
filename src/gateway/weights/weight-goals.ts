/** The weights that models are to be served with, and since when. */
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {type NamedWeights} from '../watchers/catalog.js';

/** When weights were named, as far as an instance can tell. */
export type NamingTime = {
	/** When this instance received them. */
	heardAt: Moment;
	/** A moment no later than their naming; absent where they may be of any age, as for a process that has just started. */
	namedSince: Moment | undefined;
};

/** The weights that a model is to be served with. */
export type WeightGoal = NamedWeights & NamingTime;

export class WeightGoals {
	/** By model, the newest first: those whose switchover time may still run, and the newest one whose time is over. */
	readonly #goals = new Map<string, WeightGoal[]>();
	readonly #boundMilliseconds: number;

	/** @param boundMilliseconds - Time from the naming after which no request may begin on older weights. */
	constructor(boundMilliseconds: number) {
		this.#boundMilliseconds = boundMilliseconds;
	}

	/** Adds a target unless the same or a higher version is known; returns whether it is new. */
	name(weights: NamedWeights, time: NamingTime): boolean {
		const known = this.#goals.get(weights.model) ?? [];
		if (known[0] !== undefined && known[0].version >= weights.version) {
			return false;
		}

		const lastEnded = known.findIndex(goal => this.#leftSince(goal, time.heardAt) <= 0);
		const counted = lastEnded === -1 ? known : known.slice(0, lastEnded + 1);
		this.#goals.set(weights.model, [{...weights, ...time}, ...counted]);
		return true;
	}

	goalFor(model: string): WeightGoal | undefined {
		return this.#goals.get(model)?.[0];
	}

	/**
	 * Returns for how long requests may still begin on weights that are older than a target. The time counts from the naming of
	 * the first version that replaced them: counted from the newest target, each further version would start it again.
	 *
	 * @param goal - The newest target of a model.
	 * @param now - The present moment.
	 * @param weightVersion - The weights that an engine has; by default those just before the target.
	 * @returns Milliseconds; 0 or less if no request may begin.
	 */
	leftOf(goal: WeightGoal, now: Moment, weightVersion = goal.version - 1): number {
		const replacedBy = this.#goals.get(goal.model)?.filter(({version}) => version > weightVersion) ?? [goal];
		return Math.min(...replacedBy.map(later => this.#leftSince(later, now)));
	}

	all(): WeightGoal[] {
		return [...this.#goals.values()].map(([newest]) => newest!);
	}

	#leftSince({namedSince}: WeightGoal, now: Moment): number {
		return namedSince === undefined ? 0 : this.#boundMilliseconds - longestElapsed(namedSince, now);
	}
}
