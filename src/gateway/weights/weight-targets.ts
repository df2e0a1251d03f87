/** The weights that models are to be served with, and since when. */
import {ChangeSignal} from '../../shared/change-signal.js';
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {type NamedWeights} from '../watchers/store-schema.js';

/** When weights were named, as far as an instance can tell. */
export type NamingTime = {
	/** When this instance received them. */
	observedAt: Moment;
	/** A moment no later than their naming; absent where they may be of any age, as for a process that has just started. */
	namedNotBefore: Moment | undefined;
};

/** The weights that a model is to be served with. */
export type WeightTarget = NamedWeights & NamingTime;

export class WeightTargets {
	/** Notified when a target was added. */
	readonly changes = new ChangeSignal();
	/** By model, the newest first: those whose switchover time may still run, and the newest one whose time is over. */
	readonly #targets = new Map<string, WeightTarget[]>();
	readonly #switchoverMilliseconds: number;

	/** @param switchoverMilliseconds - Time from the naming after which no request may begin on older weights. */
	constructor(switchoverMilliseconds: number) {
		this.#switchoverMilliseconds = switchoverMilliseconds;
	}

	/** Adds a target unless the same or a higher version is known; returns whether it is new. */
	add(weights: NamedWeights, time: NamingTime): boolean {
		const known = this.#targets.get(weights.model) ?? [];
		if (known[0] !== undefined && known[0].version >= weights.version) {
			return false;
		}

		const lastEnded = known.findIndex(target => this.#remainingSince(target, time.observedAt) <= 0);
		const counted = lastEnded === -1 ? known : known.slice(0, lastEnded + 1);
		this.#targets.set(weights.model, [{...weights, ...time}, ...counted]);
		this.changes.notify();
		return true;
	}

	targetFor(model: string): WeightTarget | undefined {
		return this.#targets.get(model)?.[0];
	}

	/**
	 * Returns for how long requests may still begin on weights that are older than a target. The time counts from the naming of
	 * the first version that replaced them: counted from the newest target, each further version would start it again.
	 *
	 * @param target - The newest target of a model.
	 * @param now - The present moment.
	 * @param weightVersion - The weights that an engine has; by default those just before the target.
	 * @returns Milliseconds; 0 or less if no request may begin.
	 */
	remainingMilliseconds(target: WeightTarget, now: Moment, weightVersion = target.version - 1): number {
		const replacedBy = this.#targets.get(target.model)?.filter(({version}) => version > weightVersion) ?? [target];
		return Math.min(...replacedBy.map(later => this.#remainingSince(later, now)));
	}

	all(): WeightTarget[] {
		return [...this.#targets.values()].map(([newest]) => newest!);
	}

	#remainingSince({namedNotBefore}: WeightTarget, now: Moment): number {
		return namedNotBefore === undefined ? 0 : this.#switchoverMilliseconds - longestElapsed(namedNotBefore, now);
	}
}
