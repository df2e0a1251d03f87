/** What placing remembers: of each incarnation of an endpoint, and of the engines of each service together. */
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {BelievedParts} from './believed-parts.js';
import {type EndpointLoad} from './endpoint-load.js';
import {EndpointOutlook} from './endpoint-outlook.js';
import {ReadingSpeed} from './reading-speed.js';

export class EndpointMemories {
	readonly #outlooks = new Map<string, {name: string; outlook: EndpointOutlook}>();
	/** The same by record: each placing asks for those of all endpoints, several times. */
	readonly #outlookByRecord = new WeakMap<EndpointRecord, EndpointOutlook>();
	readonly #parts = new Map<string, BelievedParts>();
	readonly #speeds = new Map<string, ReadingSpeed>();

	/** The present state of an endpoint as this instance knows it. */
	outlookOf(endpoint: EndpointRecord): EndpointOutlook {
		const known = this.#outlookByRecord.get(endpoint);
		if (known !== undefined) {
			return known;
		}

		const {outlook} = remembered(this.#outlooks, incarnationOf(endpoint), () => ({name: endpoint.name, outlook: new EndpointOutlook()}));
		this.#outlookByRecord.set(endpoint, outlook);
		return outlook;
	}

	/** The parts that were sent to an engine with that much memory. */
	partsOf(endpoint: EndpointRecord, capacityTokens: number): BelievedParts {
		return remembered(this.#parts, incarnationOf(endpoint), () => new BelievedParts(capacityTokens));
	}

	/** How fast the engines of a service read. */
	speedOf(service: string): ReadingSpeed {
		return remembered(this.#speeds, service, () => new ReadingSpeed());
	}

	/** What this instance has under way, by the name of the endpoint. */
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

	/** Forgets an incarnation that is gone. */
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
