/** A bounded set of incarnations of endpoints: those that were added first are forgotten first. */
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {rememberBounded} from '../../shared/remember-bounded.js';

/** More than leave in the seconds by which a copy of the store is old. */
const maxIncarnations = 1000;

export class IncarnationSet {
	readonly #incarnations = new Set<string>();

	add(record: EndpointRecord): void {
		rememberBounded(this.#incarnations, incarnationOf(record), maxIncarnations);
	}

	has(record: EndpointRecord): boolean {
		return this.#incarnations.size > 0 && this.#incarnations.has(incarnationOf(record));
	}

	delete(record: EndpointRecord): void {
		this.#incarnations.delete(incarnationOf(record));
	}
}
