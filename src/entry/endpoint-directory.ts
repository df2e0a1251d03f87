/** What this instance knows of the endpoints: the platform's list, corrected by what each endpoint says of itself. */
import {unresponsiveAfterMilliseconds} from '../decision/routing/is-candidate.js';
import {type EndpointView} from '../decision/routing/routing-policy.js';
import {type LoadReport} from '../ports/model-engine.js';
import {type ListedInstance} from '../shared/types.js';

/** A plain service's instance. `heardAt` is 0 until it first reported for itself. */
export type PlainEndpoint = Pick<ListedInstance, 'name' | 'address' | 'dataCentre' | 'service'> & {
	state: EndpointView['state'];
	heardAt: number;
};

export class EndpointDirectory {
	#engines: ReadonlyMap<string, EndpointView> = new Map();
	/** What `engines` gave since the last change. */
	#view: readonly EndpointView[] | undefined;
	#listSeen = false;
	#isExpected: ((name: string) => boolean) | undefined;
	#plain: ReadonlyMap<string, PlainEndpoint> = new Map();
	#entryCount = 1;
	#drained: ReadonlySet<string> = new Set();
	#listedLeaving: ReadonlySet<string> = new Set();

	/** How many live entry instances the list names, at least 1. */
	get entryCount(): number {
		return this.#entryCount;
	}

	/**
	 * Names the endpoints that this instance is to know; all unless it is called. With hundreds of endpoints an instance
	 * knows those of its cell, and would never be ready if it waited for the others.
	 */
	expectOnly(isExpected: (name: string) => boolean): void {
		this.#isExpected = isExpected;
	}

	/** True once every live model endpoint that is to be known here has reported, and the list was seen. */
	get isKnown(): boolean {
		const live = this.engines().filter(({state, name}) => state === 'live' && (this.#isExpected?.(name) ?? true));
		return this.#listSeen && live.every(({heardAt}) => heardAt > 0);
	}

	/** All model endpoints. */
	engines(): readonly EndpointView[] {
		this.#view ??= [...this.#engines.values()].map(endpoint => this.#judge(endpoint));
		return this.#view;
	}

	/** All instances of plain services. */
	plainEndpoints(): readonly PlainEndpoint[] {
		return [...this.#plain.values()].map(endpoint => this.#judge(endpoint));
	}

	/** Takes the names of the endpoints that operators drained. */
	takeDrained(names: ReadonlySet<string>): void {
		this.#drained = names;
		this.#view = undefined;
	}

	/**
	 * The live endpoints of a plain service, those of the given data centre first. One that reported before and is silent
	 * now counts as leaving; one that never reported is taken as the list gives it.
	 */
	plainEndpointsOf(service: string, dataCentre: string, now: number): readonly PlainEndpoint[] {
		const nearFirst = (endpoint: PlainEndpoint): number => endpoint.dataCentre === dataCentre ? 0 : 1;
		return this.plainEndpoints()
			.filter(endpoint => endpoint.service === service && endpoint.state === 'live')
			.filter(({heardAt}) => heardAt === 0 || now - heardAt <= unresponsiveAfterMilliseconds)
			.toSorted((left, right) => nearFirst(left) - nearFirst(right));
	}

	/**
	 * Takes the platform's list. It lags, so it never overrules an endpoint that says it is leaving, and a live entry
	 * only makes an endpoint worth asking.
	 */
	takeList(instances: readonly ListedInstance[]): void {
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
	 * Takes an endpoint's own report.
	 *
	 * @param name - The endpoint.
	 * @param load - Its report, from itself or by way of a peer.
	 * @param now - When the endpoint gave it, in milliseconds since the epoch.
	 */
	takeReport(name: string, load: LoadReport, now: number): void {
		const plain = this.#plain.get(name);
		if (plain !== undefined && now >= plain.heardAt) {
			this.#plain = new Map(this.#plain).set(name, {...plain, state: load.state, heardAt: now});
		}

		const known = this.#engines.get(name);
		// A report by way of a peer may come behind a newer one; taken, it could make a leaving endpoint live again.
		if (known !== undefined && now >= known.heardAt) {
			const {model, weightVersion, state} = load;
			this.#replace({
				...known, model, weightVersion, state, load, heardAt: now,
			});
		}
	}

	/** Takes an engine's word, in an answer, that it runs another weight version now. */
	takeVersion(name: string, weightVersion: string): void {
		const known = this.#engines.get(name);
		if (known !== undefined) {
			this.#replace({...known, weightVersion});
		}
	}

	/** An endpoint that operators drained, or that the list calls leaving, counts as such whatever it says of itself. */
	#judge<Endpoint extends PlainEndpoint>(endpoint: Endpoint): Endpoint {
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
