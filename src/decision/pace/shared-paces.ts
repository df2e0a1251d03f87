/**
 * The newest figure of each endpoint that any instance has reported to the coordinator.
 *
 * One instance is answered by an endpoint of a large service once in some seconds, all instances together several times a
 * second. A figure that is too old to predict the pace is not passed on; how soon that is the case is learned over all endpoints.
 */
import {type PaceFigure, PaceModel, paceFactorOf} from './pace-model.js';
import {type PackedPaces, type PaceReport} from './pace-report.js';

/** More than the endpoints of a deployment; the ones that were updated longest ago are dropped. */
const maxEndpoints = 4096;
/** Figures of this age are passed on, even if stretches are so short that they predict little. */
const minLifetimeMilliseconds = 300;

/** `answer` is the number of the last answer with it: an endpoint may be listed twice. */
type SharedPace = PaceFigure & {mark: number; percent: number; from: string; answer: number};

export class SharedPaces {
	readonly #newest = new Map<string, SharedPace>();
	readonly #model = new PaceModel();
	#answers = 0;

	/** Records the figures that an instance has reported; older ones than the known ones change nothing. */
	note(instance: string, reports: readonly PaceReport[], now: number): void {
		for (const [endpoint, mark, percent, ageMilliseconds] of reports) {
			const known = this.#newest.get(endpoint);
			const pace = {
				factor: paceFactorOf(percent), at: now - Math.max(0, ageMilliseconds), mark, percent, from: instance, answer: 0,
			};
			if (known !== undefined && known.at >= pace.at) {
				continue;
			}

			this.#model.observe(known?.mark === mark ? known : undefined, pace);
			this.#newest.delete(endpoint);
			this.#newest.set(endpoint, pace);
			if (this.#newest.size > maxEndpoints) {
				this.#newest.delete(this.#newest.keys().next().value!);
			}
		}
	}

	/**
	 * Packs the figures that matter to an instance: those of others that are young enough.
	 *
	 * @param lists - Lists of endpoints; the index of an endpoint counts over all of them.
	 */
	answer(instance: string, lists: ReadonlyArray<readonly string[]>, now: number): PackedPaces {
		const packed: PackedPaces = [];
		if (this.#newest.size === 0) {
			return packed;
		}

		const maxAgeMilliseconds = Math.max(minLifetimeMilliseconds, this.#model.lifetimeMilliseconds);
		let index = 0;
		this.#answers++;
		for (const endpoints of lists) {
			for (const endpoint of endpoints) {
				const pace = this.#newest.get(endpoint);
				if (pace !== undefined && pace.from !== instance && pace.answer !== this.#answers && now - pace.at <= maxAgeMilliseconds) {
					pace.answer = this.#answers;
					packed.push(index, pace.mark, pace.percent, Math.round(now - pace.at));
				}

				index++;
			}
		}

		return packed;
	}
}
