/**
 * How this instance reaches each endpoint: by connections of its own, or, where these fail and another instance's do not,
 * through that instance.
 *
 * A failed connection alone does not tell whose failure it is. An endpoint that no instance reaches has failed, or its network
 * has; one that others reach is served through them, and the failure is this instance's own. In that case its links to other
 * endpoints are likely to have failed too: all of them are tried at once, before callers' requests find out one by one.
 */
import {type MomentClock} from '../../ports/moment-clock.js';
import {type PlacementPolicy} from '../../decision/placement/placement.js';
import {ChangeSignal} from '../../shared/change-signal.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';
import {type RelayClient} from '../relay/relay-client.js';
import {configuredEndpoints} from './configured-endpoints.js';
import {type EndpointRegistry} from './endpoint-registry.js';
import {probeConnection, type ProbeResult} from './probe-connection.js';
import {RetryPauses} from './retry-pauses.js';

export type EndpointPathsDependencies = {
	clock: MomentClock;
	placement: PlacementPolicy;
	endpoints: Pick<EndpointRegistry, 'all'>;
	/** Endpoints of services that it does not name are not examined. */
	configuration: {readonly current: Pick<RoutedConfiguration, 'services' | 'routes'> | undefined};
	relays: Pick<RelayClient, 'probe'>;
	log: Pick<DecisionLog, 'record'>;
	metrics: Pick<GatewayMetrics, 'unreachableEndpoints'>;
	probe?: (address: string) => Promise<ProbeResult>;
};

/** First interval between attempts to reach a relayed endpoint directly again; doubles up to the longest. */
const firstDirectIntervalMilliseconds = 500;
const maxDirectIntervalMilliseconds = 2000;
/**
 * Pauses before relays are asked again for an endpoint that they do not reach: the first is short, since they may have lost their
 * links at the same moment; with hundreds of instances the later ones keep the questions about a failed endpoint few.
 */
const relayPauses = {firstMilliseconds: 500, maxMilliseconds: 8000};
/** How long after an endpoint was found to be reached by others only the own links to the rest are examined. */
const suspicionMilliseconds = 2000;
/** Endpoints that are examined at a time. */
const maxExaminations = 32;

/** Other endpoints that are tried to find out whether the own link fails. */
const maxWitnesses = 3;

/** An endpoint that has been down for this long is no witness of a failure of the own link. */
const knownDownMilliseconds = 2000;

const nothingUnreachable = '0 0';

type RelayedEndpoint = {endpoint: EndpointRecord; nextDirectAt: number; interval: number};

export class EndpointPaths {
	/** Notified when a connection could not be established, and when an endpoint was examined: there may be work from then on. */
	readonly workChanges = new ChangeSignal();
	readonly #dependencies: EndpointPathsDependencies;
	readonly #probe: (address: string) => Promise<ProbeResult>;
	readonly #relayed = new Map<string, RelayedEndpoint>();
	readonly #examinations = new Map<string, Promise<void>>();
	readonly #relayPauses = new RetryPauses(relayPauses);
	/** Endpoints that were examined within the present suspicion of this instance's own links. */
	readonly #examined = new Set<string>();
	/** Since when endpoints are down, in milliseconds of the steady clock; one that has ended was down before any other event. */
	readonly #downSince = new Map<string, number>();
	#nextWitness = 0;
	#suspectUntil = Number.NEGATIVE_INFINITY;
	/** Unreachable and relayed endpoints as they were logged last. */
	#reported = nothingUnreachable;

	constructor(dependencies: EndpointPathsDependencies) {
		this.#dependencies = dependencies;
		this.#probe = dependencies.probe ?? probeConnection;
	}

	/** Whether requests to an endpoint go through another instance. */
	isRelayed(endpoint: EndpointRecord): boolean {
		return this.#relayed.has(incarnationOf(endpoint));
	}

	/** Whether new connections to an endpoint have failed by every path, the last one included. */
	isUnreachable(endpoint: EndpointRecord): boolean {
		return this.#dependencies.placement.unreachable().some(({name}) => name === endpoint.name);
	}

	/** Whether this instance may connect to an endpoint itself, as far as it knows. */
	hasDirectPath(endpoint: EndpointRecord): boolean {
		return !this.isRelayed(endpoint) && !this.isUnreachable(endpoint);
	}

	/** Listed endpoints to which this instance has no connection of its own. */
	get withoutDirectPath(): number {
		return this.#relayed.size + this.#dependencies.placement.unreachable().length;
	}

	/** Records that a connection to an endpoint could not be established, and finds out whether others reach it. */
	noteNotConnected(endpoint: EndpointRecord): void {
		this.workChanges.notify();
		void this.#examineOnce(endpoint, async () => this.#examineRelays(endpoint));
	}

	/** Records that a relay did not connect to an endpoint, and finds out whether another one does. */
	noteRelayFailed(endpoint: EndpointRecord): void {
		this.workChanges.notify();
		void this.#examineOnce(endpoint, async () => this.#examine(endpoint));
	}

	/** Waits until the examinations of these endpoints that are under way have ended. */
	async settled(endpoints: readonly EndpointRecord[]): Promise<void> {
		await Promise.all(endpoints.map(async endpoint => this.#examinations.get(incarnationOf(endpoint))));
	}

	/** Whether endpoints are or were unreachable, so that there is something to examine, to forget or to report. */
	hasWork(now: number): boolean {
		return now < this.#suspectUntil || this.#reported !== nothingUnreachable || [this.#relayed, this.#downSince, this.#relayPauses].some(({size}) => size > 0)
			|| this.#dependencies.placement.unreachable().length > 0;
	}

	/** Examines the endpoints that are due. */
	step(now: number): void {
		if (!this.hasWork(now)) {
			return;
		}

		const {placement} = this.#dependencies;
		const listed = this.#listed();
		this.#forgetDeparted(listed);
		for (const endpoint of placement.dueProbes(now)) {
			void this.#examineOnce(endpoint, async () => this.#examine(endpoint));
		}

		for (const relayed of this.#relayed.values()) {
			if (relayed.nextDirectAt <= now) {
				void this.#examineOnce(relayed.endpoint, async () => this.#examineDirect(relayed));
			}
		}

		if (now < this.#suspectUntil) {
			this.#examineOthers(listed);
		}

		this.#report(listed);
	}

	/**
	 * Whether an endpoint's process answers, by whichever path there is. Where it seems to refuse connections and the other
	 * endpoints cannot be reached either, it is this instance's own link that fails, and the result is `silent`.
	 */
	async reach(endpoint: EndpointRecord): Promise<ProbeResult> {
		const direct = await this.#probe(endpoint.address);
		if (direct === 'accepted') {
			return direct;
		}

		const result = await this.#dependencies.relays.probe(endpoint) ?? direct;
		if (result !== 'refused') {
			return result;
		}

		if (!await this.#reachesAnother(endpoint)) {
			return 'silent';
		}

		this.#downSince.set(incarnationOf(endpoint), Number.NEGATIVE_INFINITY);
		return result;
	}

	/** Whether one of a few other endpoints that were up until now accepts a connection; true if there is none. */
	async #reachesAnother(endpoint: EndpointRecord): Promise<boolean> {
		const others = this.#listed().filter(other => other.state === 'ready' && other.name !== endpoint.name && !this.#isKnownDown(other));
		const start = this.#nextWitness++ % Math.max(1, others.length);
		const witnesses = [...others.slice(start), ...others.slice(0, start)].slice(0, maxWitnesses);
		const results = await Promise.all(witnesses.map(async ({address}) => this.#probe(address)));
		return results.length === 0 || results.includes('accepted');
	}

	/** Whether an endpoint was down before, so that its silence tells nothing about the own link now. */
	#isKnownDown(endpoint: EndpointRecord): boolean {
		return this.#now() - (this.#downSince.get(incarnationOf(endpoint)) ?? Number.POSITIVE_INFINITY) > knownDownMilliseconds;
	}

	async #examineOnce(endpoint: EndpointRecord, examine: () => Promise<unknown>): Promise<void> {
		const incarnation = incarnationOf(endpoint);
		if (this.#examinations.has(incarnation) || this.#examinations.size >= maxExaminations) {
			return;
		}

		const running = this.#runExamination(endpoint, examine);
		this.#examinations.set(incarnation, running);
		await running;
	}

	/** Nothing awaits most examinations, so a failed one is recorded; the endpoint is examined again when it is due. */
	async #runExamination(endpoint: EndpointRecord, examine: () => Promise<unknown>): Promise<void> {
		try {
			await examine();
		} catch (error) {
			this.#dependencies.log.record('fault', {path: 'examination', endpoint: endpoint.name, error: String(error)});
		} finally {
			this.#examinations.delete(incarnationOf(endpoint));
			this.workChanges.notify();
		}
	}

	async #examine(endpoint: EndpointRecord): Promise<void> {
		if (await this.#probe(endpoint.address) === 'accepted') {
			this.#setDirect(endpoint);
		} else if (!await this.#examineRelays(endpoint)) {
			const now = this.#now();
			this.#downSince.set(incarnationOf(endpoint), Math.min(now, this.#downSince.get(incarnationOf(endpoint)) ?? now));
			this.#dependencies.placement.noteProbe(endpoint, false, now);
		}
	}

	/** Returns whether another instance reaches the endpoint. */
	async #examineRelays(endpoint: EndpointRecord): Promise<boolean> {
		const {placement, relays, log} = this.#dependencies;
		const incarnation = incarnationOf(endpoint);
		if (!this.#relayPauses.isDue(incarnation, this.#now())) {
			return false;
		}

		const result = await relays.probe(endpoint);
		const now = this.#now();
		if (result !== 'accepted') {
			// Without a relay that answers, nothing is known.
			if (result !== undefined) {
				if (this.#relayed.delete(incarnation)) {
					placement.noteUnreachable(endpoint, now);
				}

				this.#relayPauses.noteFailed(incarnation, now);
			}

			return false;
		}

		this.#relayPauses.forget(incarnation);
		this.#downSince.delete(incarnation);
		if (!this.#relayed.has(incarnation)) {
			this.#relayed.set(incarnation, {endpoint, nextDirectAt: now + firstDirectIntervalMilliseconds, interval: firstDirectIntervalMilliseconds});
			log.record('endpoint-path', {endpoint: endpoint.name, path: 'relayed'});
			this.#suspectLinks(now);
		}

		placement.noteNewPath(endpoint);
		return true;
	}

	async #examineDirect(relayed: RelayedEndpoint): Promise<void> {
		if (await this.#probe(relayed.endpoint.address) === 'accepted') {
			this.#setDirect(relayed.endpoint);
			return;
		}

		relayed.interval = Math.min(maxDirectIntervalMilliseconds, 2 * relayed.interval);
		relayed.nextDirectAt = this.#now() + relayed.interval;
	}

	#setDirect(endpoint: EndpointRecord): void {
		this.#relayPauses.forget(incarnationOf(endpoint));
		this.#downSince.delete(incarnationOf(endpoint));
		const {placement, log} = this.#dependencies;
		if (!this.#relayed.delete(incarnationOf(endpoint))) {
			placement.noteProbe(endpoint, true, this.#now());
			return;
		}

		log.record('endpoint-path', {endpoint: endpoint.name, path: 'direct'});
		placement.noteNewPath(endpoint);
		// The other links are likely to work again too.
		for (const other of this.#relayed.values()) {
			other.nextDirectAt = 0;
		}
	}

	#suspectLinks(now: number): void {
		if (now >= this.#suspectUntil) {
			this.#examined.clear();
		}

		this.#suspectUntil = now + suspicionMilliseconds;
		this.#examineOthers(this.#listed());
	}

	#examineOthers(listed: readonly EndpointRecord[]): void {
		for (const endpoint of listed) {
			const incarnation = incarnationOf(endpoint);
			if (this.#examinations.size >= maxExaminations) {
				return;
			}

			if (!this.#examined.has(incarnation) && !this.#relayed.has(incarnation)) {
				this.#examined.add(incarnation);
				void this.#examineOnce(endpoint, async () => this.#examineSuspect(endpoint));
			}
		}
	}

	/** Examines an endpoint to which no request has failed yet: it is not blamed where nobody reaches it. */
	async #examineSuspect(endpoint: EndpointRecord): Promise<void> {
		if (await this.#probe(endpoint.address) !== 'accepted') {
			await this.#examineRelays(endpoint);
		}
	}

	#forgetDeparted(listed: readonly EndpointRecord[]): void {
		if ([this.#relayed, this.#downSince, this.#relayPauses].every(({size}) => size === 0)) {
			return;
		}

		const incarnations = new Set(listed.map(endpoint => incarnationOf(endpoint)));
		for (const map of [this.#relayed, this.#downSince]) {
			for (const incarnation of map.keys()) {
				if (!incarnations.has(incarnation)) {
					map.delete(incarnation);
				}
			}
		}

		this.#relayPauses.retain(incarnations);
	}

	/** Logs how many of the listed endpoints are unreachable: an instance that reaches none is cut off, whatever each failed attempt says. */
	#report(listed: readonly EndpointRecord[]): void {
		const {placement, log, metrics} = this.#dependencies;
		const names = new Set(placement.unreachable().map(({name}) => name));
		if (names.size === 0 && this.#relayed.size === 0 && this.#reported === nothingUnreachable) {
			return;
		}

		const unreachable = names.size === 0 ? 0 : listed.filter(({name}) => names.has(name)).length;
		const counts = `${unreachable} ${this.#relayed.size}`;
		if (counts !== this.#reported) {
			this.#reported = counts;
			metrics.unreachableEndpoints.set(unreachable);
			log.record('endpoints-unreachable', {unreachable, relayed: this.#relayed.size, listed: listed.length});
		}
	}

	#listed(): readonly EndpointRecord[] {
		const {configuration, endpoints} = this.#dependencies;
		return configuredEndpoints(configuration.current, endpoints.all());
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}
