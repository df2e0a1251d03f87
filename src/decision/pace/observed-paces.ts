/** The figures that this instance has read in answers lately, which it reports to the coordinator. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {incarnationMarkOf, type PaceReport} from './pace-report.js';

/** Older figures are not reported; frames are sent several times a second. */
const maxAgeMilliseconds = 1000;
/** More than an instance reads between two frames; the oldest ones are dropped. */
const maxFigures = 256;

type ObservedPace = {endpoint: EndpointRecord; percent: number; at: number; number: number};

export class ObservedPaces {
	#recent: ObservedPace[] = [];
	#last = 0;

	add(endpoint: EndpointRecord, percent: number, now: number): void {
		this.#last++;
		this.#recent.push({
			endpoint, percent, at: now, number: this.#last,
		});
		if (this.#recent.length > maxFigures) {
			this.#recent = this.#recent.slice(-maxFigures / 2);
		}
	}

	/**
	 * Lists the newest figure of each endpoint that a coordinator has not received.
	 *
	 * @param position - The position of the last report to it; 0 before the first one.
	 * @returns The figures, and the new position.
	 */
	after(position: number, now: number): {paces: PaceReport[]; position: number} {
		if (position === this.#last) {
			return {paces: [], position};
		}

		this.#recent = this.#recent.filter(({at}) => now - at < maxAgeMilliseconds);
		const newest = new Map<string, PaceReport>();
		for (const {endpoint, percent, at, number} of this.#recent) {
			if (number > position) {
				newest.set(endpoint.name, [endpoint.name, incarnationMarkOf(endpoint), Math.round(percent), Math.round(now - at)]);
			}
		}

		return {paces: [...newest.values()], position: this.#last};
	}
}
