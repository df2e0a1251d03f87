/** The latest observation, by any instance, of each service whose endpoints are or were brittle. */
import {type BrittleReport} from '../limits/brittle-services.js';

export class BrittleObservations {
	readonly #observations = new Map<string, {isBrittle: boolean; at: number}>();

	/** Services that were observed. */
	get size(): number {
		return this.#observations.size;
	}

	/** Records what an instance has reported, at a time of the steady clock in milliseconds; older observations change nothing. */
	note(reports: readonly BrittleReport[], now: number): void {
		for (const {service, isBrittle, ageMilliseconds} of reports) {
			const at = now - ageMilliseconds;
			if (at > (this.#observations.get(service)?.at ?? Number.NEGATIVE_INFINITY)) {
				this.#observations.set(service, {isBrittle, at});
			}
		}
	}

	/** Returns what all instances receive. */
	reports(now: number): BrittleReport[] {
		return [...this.#observations].map(([service, {isBrittle, at}]) => ({service, isBrittle, ageMilliseconds: Math.round(now - at)}));
	}
}
