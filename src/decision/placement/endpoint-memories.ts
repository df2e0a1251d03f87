/** State that placement keeps for each incarnation of an endpoint, and for the engines of each service together. */
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {BelievedParts} from './believed-parts.js';
import {type EndpointLoad} from './endpoint-load.js';
import {EndpointOutlook} from './endpoint-outlook.js';
import {ReadingSpeed} from './reading-speed.js';

export class EndpointMemories {
	readonly #outlooks = new Map<string, {name: string; outlook: EndpointOutlook}>();
	/** The same by record, since each placement looks up all endpoints several times. */
	readonly #outlookByRecord = new WeakMap<EndpointRecord, EndpointOutlook>();
	readonly #parts = new Map<string, BelievedParts>();
	readonly #speeds = new Map<string, ReadingSpeed>();

	/** The tracker of an endpoint's incarnation. */
	outlookOf(endpoint: EndpointRecord): EndpointOutlook {
		const known = this.#outlookByRecord.get(endpoint);
		if (known !== undefined) {
			return known;
		}

		const {outlook} = remembered(this.#outlooks, incarnationOf(endpoint), () => ({name: endpoint.name, outlook: new EndpointOutlook()}));
		this.#outlookByRecord.set(endpoint, outlook);
		return outlook;
	}

	/** The estimated cache of an engine with this much memory. */
	partsOf(endpoint: EndpointRecord, capacityTokens: number): BelievedParts {
		return remembered(this.#parts, incarnationOf(endpoint), () => new BelievedParts(capacityTokens));
	}

	/** Prefill speed of the engines of a service. */
	speedOf(service: string): ReadingSpeed {
		return remembered(this.#speeds, service, () => new ReadingSpeed());
	}

	/** The load of this instance by the name of the endpoint; endpoints without its requests are absent. */
	loadsAt(now: number): Map<string, EndpointLoad> {
		const loads = new Map<string, EndpointLoad>();
		for (const {name, outlook} of this.#outlooks.values()) {
			const load = outlook.loadAt(now);
			if (load.requests > 0) {
				loads.set(name, load);
			}
		}

		return loads;
	}

	/** Forgets an incarnation that has ended. */
	forget(endpoint: EndpointRecord): void {
		this.#outlookByRecord.delete(endpoint);
		this.#outlooks.delete(incarnationOf(endpoint));
		this.#parts.delete(incarnationOf(endpoint));
	}
}

function remembered<Value>(map: Map<string, Value>, key: string, create: () => Value): Value {
	const known = map.get(key);
	if (known !== undefined) {
		return known;
	}

	const created = create();
	map.set(key, created);
	return created;
}
