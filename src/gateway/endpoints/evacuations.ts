/**
 * The data centres that operators have evacuated: their endpoints get no new requests until the evacuation is taken back. What
 * runs there goes on, and blocks that their engines have cached can still be fetched.
 */
import {type DecisionLog} from '../observability/decision-log.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';

export type EvacuationsDependencies = {
	log: Pick<DecisionLog, 'record'>;
	metrics: Pick<GatewayMetrics, 'evacuatedDataCentres'>;
};

type Evacuation = {
	dataCentre: string;
	/** When it became known here, in milliseconds of the steady clock. */
	since: number;
};

export class Evacuations {
	readonly #dependencies: EvacuationsDependencies;
	/** By the key of the row that requests it. */
	readonly #evacuations = new Map<string, Evacuation>();

	constructor(dependencies: EvacuationsDependencies) {
		this.#dependencies = dependencies;
	}

	isEvacuated(dataCentre: string): boolean {
		for (const evacuation of this.#evacuations.values()) {
			if (evacuation.dataCentre === dataCentre) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Applies a row that requests an evacuation.
	 *
	 * @param key - The row's key.
	 * @param dataCentre - The data centre.
	 * @param now - Milliseconds of the steady clock.
	 */
	begin(key: string, dataCentre: string, now: number): void {
		if (this.#evacuations.has(key)) {
			return;
		}

		this.#evacuations.set(key, {dataCentre, since: now});
		this.#dependencies.metrics.evacuatedDataCentres.set(this.#evacuations.size);
		this.#dependencies.log.record('evacuation-begun', {dataCentre});
	}

	/** Applies the removal of a row; one of another kind has no effect. */
	end(key: string, now: number): void {
		const evacuation = this.#evacuations.get(key);
		if (evacuation === undefined) {
			return;
		}

		this.#evacuations.delete(key);
		this.#dependencies.metrics.evacuatedDataCentres.set(this.#evacuations.size);
		this.#dependencies.log.record('evacuation-ended', {dataCentre: evacuation.dataCentre, milliseconds: Math.round(now - evacuation.since)});
	}

	/** Ends the evacuations whose rows are not among those of the whole table. */
	endMissing(keys: ReadonlySet<string>, now: number): void {
		for (const key of this.#evacuations.keys()) {
			if (!keys.has(key)) {
				this.end(key, now);
			}
		}
	}
}
