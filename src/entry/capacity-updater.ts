/** Sets how many requests each service may have in flight, in the admission policy, after each round of load reports. */
import {AdmissionWindow} from '../decision/admission/admission-window.js';
import {hashOf} from '../shared/hash-of.js';
import {type AdmissionGate} from './callers/admission-gate.js';
import {type EntryContext} from './entry-context.js';

const hashRange = 2 ** 32;

export class CapacityUpdater {
	readonly #context: EntryContext;
	readonly #gate: AdmissionGate;
	readonly #windows = new Map<string, AdmissionWindow>();

	constructor(context: EntryContext, gate: AdmissionGate) {
		this.#context = context;
		this.#gate = gate;
	}

	/** Sets each service's capacity from the newest load reports of its endpoints. Called once for each round of reports. */
	applyReports(): void {
		const {clock, endpoints, settings} = this.#context;
		const now = clock.now();
		const views = endpoints.engines();
		for (const service of new Set(views.map(view => view.service))) {
			const capacity = this.#windowOf(service).applyReports(views, {
				inFlight: this.#gate.deferrableInFlight(service),
				instances: endpoints.entryCount,
				linkSlowness: 1,
				dither: hashOf(`${settings.instance}|${service}|${now}`) / hashRange,
			}, now);
			this.#gate.setCapacity(service, capacity);
		}
	}

	#windowOf(service: string): AdmissionWindow {
		let window = this.#windows.get(service);
		if (window === undefined) {
			window = new AdmissionWindow(service);
			this.#windows.set(service, window);
		}

		return window;
	}
}
