/**
 * This instance's directory of endpoints: the platform's instance list, updated with the load reports of the endpoints and
 * with the drains of the operators.
 */
import {unresponsiveAfterMilliseconds} from '../decision/routing/is-candidate.js';
import {type EndpointView} from '../decision/routing/routing-policy.js';
import {type LoadReport} from '../ports/model-engine.js';
import {type ListedInstance} from '../shared/types.js';

/** An endpoint of a plain service. Its last report's time, in milliseconds since the epoch, is 0 until the first report. */
export type PlainEndpoint = Pick<ListedInstance, 'name' | 'address' | 'dataCentre' | 'service'> & {
	state: EndpointView['state'];
	heardAt: number;
};

export class EndpointDirectory {
	#engines: ReadonlyMap<string, EndpointView> = new Map();
	/** The cached result of `engines`; `undefined` after a change. */
	#view: readonly EndpointView[] | undefined;
	#listSeen = false;
	#isExpected: ((name: string) => boolean) | undefined;
	#plain: ReadonlyMap<string, PlainEndpoint> = new Map();
	#entryCount = 1;
	#drained: ReadonlySet<string> = new Set();
	#listedLeaving: ReadonlySet<string> = new Set();

	/** The number of live entry instances on the list, at least 1. */
	get entryCount(): number {
		return this.#entryCount;
	}

	/**
	 * Restricts `isKnown` to some endpoints; without this call it waits for all. With hundreds of endpoints, an instance
	 * receives only the reports of its cell, and would never be ready if it waited for the others.
	 */
	expectOnly(isExpected: (name: string) => boolean): void {
		this.#isExpected = isExpected;
	}

	/** True once the list was read and every live model endpoint that is expected here has reported. */
	get isKnown(): boolean {
		const live = this.engines().filter(({state, name}) => state === 'live' && (this.#isExpected?.(name) ?? true));
		return this.#listSeen && live.every(({heardAt}) => heardAt > 0);
	}

	/** Returns all model endpoints. */
	engines(): readonly EndpointView[] {
		this.#view ??= [...this.#engines.values()].map(endpoint => this.#withLeavingState(endpoint));
		return this.#view;
	}

	/** Returns all endpoints of plain services. */
	plainEndpoints(): readonly PlainEndpoint[] {
		return [...this.#plain.values()].map(endpoint => this.#withLeavingState(endpoint));
	}

	/** Sets the names of the endpoints that operators have drained. */
	setDrained(names: ReadonlySet<string>): void {
		this.#drained = names;
		this.#view = undefined;
	}

	/**
	 * Returns the live endpoints of a plain service, those of the given data centre first. An endpoint whose last report is
	 * too old is left out; one that has never reported has the state of the list.
	 */
	plainEndpointsOf(service: string, dataCentre: string, now: number): readonly PlainEndpoint[] {
		const nearFirst = (endpoint: PlainEndpoint): number => endpoint.dataCentre === dataCentre ? 0 : 1;
		return this.plainEndpoints()
			.filter(endpoint => endpoint.service === service && endpoint.state === 'live')
			.filter(({heardAt}) => heardAt === 0 || now - heardAt <= unresponsiveAfterMilliseconds)
			.toSorted((left, right) => nearFirst(left) - nearFirst(right));
	}

	/**
	 * Applies the platform's instance list. The list lags, so it never makes an endpoint live that reports itself as leaving.
	 * A live state on the list holds only until the endpoint's first report.
	 */
	applyList(instances: readonly ListedInstance[]): void {
		this.#listSeen = true;
		this.#listedLeaving = new Set(instances.filter(({state}) => state === 'leaving').map(({name}) => name));
		this.#entryCount = Math.max(1, instances.filter(({role, state}) => role === 'entry' && state === 'live').length);
		const engines = instances.filter(({role}) => role === 'model-engine');
		this.#view = undefined;
		this.#engines = new Map(engines.map(listed => [listed.name, mergeListed(this.#engines.get(listed.name), listed)]));
		const plain = instances.filter(({role}) => role === 'plain-service');
		this.#plain = new Map(plain.map(listed => [listed.name, mergePlain(this.#plain.get(listed.name), listed)]));
	}

	/**
	 * Applies a load report of an endpoint.
	 *
	 * @param name - The endpoint.
	 * @param load - Its report, received from the endpoint or from a peer.
	 * @param now - When the report was read from the endpoint, in milliseconds since the epoch.
	 */
	applyReport(name: string, load: LoadReport, now: number): void {
		const plain = this.#plain.get(name);
		if (plain !== undefined && now >= plain.heardAt) {
			this.#plain = new Map(this.#plain).set(name, {...plain, state: load.state, heardAt: now});
		}

		const known = this.#engines.get(name);
		// A report from a peer may arrive after a newer one. Applied, it could make a leaving endpoint live again.
		if (known !== undefined && now >= known.heardAt) {
			const {model, weightVersion, state} = load;
			this.#replace({
				...known, model, weightVersion, state, load, heardAt: now,
			});
		}
	}

	/** Applies a weight version that an engine reported in its answer to a request. */
	applyVersion(name: string, weightVersion: string): void {
		const known = this.#engines.get(name);
		if (known !== undefined) {
			this.#replace({...known, weightVersion});
		}
	}

	/** An endpoint that operators drained, or that is leaving by the list, counts as leaving whatever state it reports. */
	#withLeavingState<Endpoint extends PlainEndpoint>(endpoint: Endpoint): Endpoint {
		const isLeaving = this.#drained.has(endpoint.name) || this.#listedLeaving.has(endpoint.name);
		return isLeaving ? {...endpoint, state: 'leaving'} : endpoint;
	}

	#replace(endpoint: EndpointView): void {
		const engines = new Map(this.#engines);
		engines.set(endpoint.name, endpoint);
		this.#engines = engines;
		this.#view = undefined;
	}
}

function mergeListed(known: EndpointView | undefined, listed: ListedInstance): EndpointView {
	const {
		name, address, dataCentre, service, state,
	} = listed;
	if (known?.address !== address) {
		return {
			name, address, dataCentre, service, model: '', weightVersion: '', state, heardAt: 0,
		};
	}

	return {...known, service};
}

function mergePlain(known: PlainEndpoint | undefined, listed: ListedInstance): PlainEndpoint {
	const {
		name, address, dataCentre, service,
	} = listed;
	const {state, heardAt} = known?.address === address ? known : {state: listed.state, heardAt: 0};
	return {
		name, address, dataCentre, service, state, heardAt,
	};
}
