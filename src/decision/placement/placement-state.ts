/** State that placement keeps for each incarnation of an endpoint, and for the engines of each service together. */
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {PaceModel, paceFactorOf} from '../pace/pace-model.js';
import {EstimatedPrefixCache} from './estimated-prefix-cache.js';
import {type EndpointLoad} from './endpoint-load.js';
import {EndpointTracker} from './endpoint-tracker.js';
import {FirstByteTimes} from './first-byte-times.js';
import {PrefillSpeed} from './prefill-speed.js';

export class PlacementState {
	readonly #trackers = new Map<string, {name: string; tracker: EndpointTracker}>();
	/** The same by record, since each placement looks up all endpoints several times. */
	readonly #trackerByRecord = new WeakMap<EndpointRecord, EndpointTracker>();
	readonly #prefixCaches = new Map<string, EstimatedPrefixCache>();
	readonly #prefillSpeeds = new Map<string, PrefillSpeed>();
	readonly #firstByteTimes = new Map<string, FirstByteTimes>();

	/** Services whose endpoints have reported their pace. */
	readonly #paceModels = new Map<string, PaceModel>();

	/** How the pace of a service's endpoints changes; `undefined` where none has reported it. */
	paceModelOf(service: string): PaceModel | undefined {
		return this.#paceModels.get(service);
	}

	/** Records a figure of an endpoint's pace; older ones than the last one change nothing. */
	notePace(endpoint: EndpointRecord, percent: number, at: number): void {
		const tracker = this.trackerOf(endpoint);
		const former = tracker.pace;
		const figure = {factor: paceFactorOf(percent), at};
		if (tracker.notePace(figure)) {
			getOrCreate(this.#paceModels, endpoint.service, () => new PaceModel()).observe(former, figure);
		}
	}

	/** The tracker of an endpoint's incarnation. */
	trackerOf(endpoint: EndpointRecord): EndpointTracker {
		const known = this.#trackerByRecord.get(endpoint);
		if (known !== undefined) {
			return known;
		}

		const {tracker} = getOrCreate(this.#trackers, incarnationOf(endpoint), () => ({name: endpoint.name, tracker: new EndpointTracker()}));
		this.#trackerByRecord.set(endpoint, tracker);
		return tracker;
	}

	/** The estimated cache of an engine with this much memory. */
	prefixCacheOf(endpoint: EndpointRecord, capacityTokens: number): EstimatedPrefixCache {
		return getOrCreate(this.#prefixCaches, incarnationOf(endpoint), () => new EstimatedPrefixCache(capacityTokens));
	}

	/** Prefill speed of the engines of a service. */
	prefillSpeedOf(service: string): PrefillSpeed {
		return getOrCreate(this.#prefillSpeeds, service, () => new PrefillSpeed());
	}

	/** Times of the first bytes of a service's answers. */
	firstByteTimesOf(service: string): FirstByteTimes {
		return getOrCreate(this.#firstByteTimes, service, () => new FirstByteTimes());
	}

	/** The load of this instance by the name of the endpoint; endpoints without its requests are absent. */
	loadsAt(now: number): Map<string, EndpointLoad> {
		const loads = new Map<string, EndpointLoad>();
		for (const {name, tracker} of this.#trackers.values()) {
			if (tracker.inFlight > 0) {
				loads.set(name, tracker.loadAt(now));
			}
		}

		return loads;
	}

	/** Forgets an incarnation that is not listed any more. Requests in flight there keep its tracker, which shows whether it is silent. */
	forget(endpoint: EndpointRecord): void {
		if (this.#trackerByRecord.get(endpoint)?.inFlight === 0) {
			this.#trackerByRecord.delete(endpoint);
		}

		this.#trackers.delete(incarnationOf(endpoint));
		this.#prefixCaches.delete(incarnationOf(endpoint));
	}
}

function getOrCreate<Value>(map: Map<string, Value>, key: string, create: () => Value): Value {
	const known = map.get(key);
	if (known !== undefined) {
		return known;
	}

	const created = create();
	map.set(key, created);
	return created;
}
