/**
 * The endpoints that are warming up, and the permits to send to them.
 *
 * Such an endpoint takes a number of requests a second from all instances together, and may end if it gets more. As for a limit
 * that an endpoint has named, each request needs a permit of the coordinator, and an instance that does not reach it sends none:
 * the other endpoints serve its requests, and the warm-up takes only seconds.
 */
import {type WarmUpRate, warmUpRate} from '../../decision/limits/warm-up-rate.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type WarmUp} from '../../shared/routed-configuration.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';
import {type PermitSource} from './endpoint-limits.js';

export type WarmUpLimitsDependencies = {
	clock: MomentClock;
	log: Pick<DecisionLog, 'record'>;
	metrics: Pick<GatewayMetrics, 'warmUpPermits' | 'warmingEndpoints'>;
	permits: PermitSource;
	/** What the endpoints of a service take while they warm up; `undefined` where it declares nothing. */
	warmUpOf: (service: string) => WarmUp | undefined;
	/** The bound on requests a second is the declared number times `ratio`, and `extra`. */
	bound: {ratio: number; extra: number};
};

/** In milliseconds of the steady clock. */
type WarmingEndpoint = {
	until: number;
	/** No permit is asked for before this time. */
	deniedUntil: number;
};

/** For how long a refused permit is not asked for again. */
const deniedMilliseconds = 100;
/** The same after a question that the coordinator did not answer; it holds for all endpoints. */
const unansweredMilliseconds = 250;
/** How many endpoints are remembered; the one whose row arrived first is dropped first. */
const maxEndpoints = 5000;

export class WarmUpLimits {
	readonly #dependencies: WarmUpLimitsDependencies;
	readonly #warming = new Map<string, WarmingEndpoint>();
	#unansweredUntil = 0;

	constructor(dependencies: WarmUpLimitsDependencies) {
		this.#dependencies = dependencies;
	}

	/** Applies the row of an endpoint, which counts from its arrival: the endpoint is taken to warm up for a little longer than it does. */
	noteRow(endpoint: EndpointRecord): void {
		const incarnation = incarnationOf(endpoint);
		const known = this.#warming.get(incarnation);
		const now = this.#now();
		if (endpoint.warmUpMilliseconds > 0) {
			this.#warming.delete(incarnation);
			this.#warming.set(incarnation, {deniedUntil: 0, ...known, until: now + endpoint.warmUpMilliseconds});
			if (known === undefined) {
				this.#dependencies.log.record('endpoint-warming', {endpoint: endpoint.name, service: endpoint.service, milliseconds: endpoint.warmUpMilliseconds});
			}
		} else {
			this.#warming.delete(incarnation);
		}

		this.#forget(now);
	}

	/**
	 * Records that no connection to an endpoint was established: another process may answer there before its row says that it is warming
	 * up. A lost answer alone does not show that; endpoints that lose many would get too few requests.
	 */
	noteLost(endpoint: EndpointRecord): void {
		const warmUp = this.#dependencies.warmUpOf(endpoint.service);
		if (warmUp !== undefined) {
			const incarnation = incarnationOf(endpoint);
			const known = this.#warming.get(incarnation);
			const until = this.#now() + warmUp.milliseconds;
			this.#warming.set(incarnation, {deniedUntil: 0, ...known, until: Math.max(until, known?.until ?? 0)});
		}
	}

	isWarmingUp(endpoint: EndpointRecord): boolean {
		return this.#warmingOf(endpoint) !== undefined;
	}

	/** Whether a permit for an endpoint was refused a moment ago. */
	isFull(endpoint: EndpointRecord): boolean {
		const warming = this.#warmingOf(endpoint);
		return warming !== undefined && this.#now() < Math.max(warming.deniedUntil, this.#unansweredUntil);
	}

	/** Whether one request may be sent to an endpoint now. A permit is used up by the question. */
	async maySend(endpoint: EndpointRecord): Promise<boolean> {
		const warming = this.#warmingOf(endpoint);
		if (warming === undefined) {
			return true;
		}

		const {metrics, permits} = this.#dependencies;
		if (this.isFull(endpoint)) {
			metrics.warmUpPermits.inc({outcome: 'denied'});
			return false;
		}

		const {permitsPerSecond, maxUnused} = this.#rateOf(endpoint);
		const answer = permitsPerSecond === 0
			? 'denied'
			: await permits.takePermit({
				kind: 'warm-up', incarnation: incarnationOf(endpoint), limitPerSecond: permitsPerSecond, answeredMilliseconds: 0, maxUnused,
			});
		metrics.warmUpPermits.inc({outcome: answer ?? 'no-coordinator'});
		if (answer === undefined) {
			this.#unansweredUntil = this.#now() + unansweredMilliseconds;
		} else if (answer === 'denied') {
			warming.deniedUntil = this.#now() + deniedMilliseconds;
		}

		return answer === 'granted';
	}

	#rateOf({service}: EndpointRecord): WarmUpRate {
		const {warmUpOf, bound: {ratio, extra}} = this.#dependencies;
		return warmUpRate(((warmUpOf(service)?.requestsPerSecond ?? 0) * ratio) + extra);
	}

	/** The state of an endpoint that is warming up. What rows say of a service that declares no warm-up limits nothing. */
	#warmingOf(endpoint: EndpointRecord): WarmingEndpoint | undefined {
		if (this.#warming.size === 0) {
			return undefined;
		}

		const warming = this.#warming.get(incarnationOf(endpoint));
		return warming !== undefined && warming.until > this.#now() && this.#dependencies.warmUpOf(endpoint.service) !== undefined ? warming : undefined;
	}

	#forget(now: number): void {
		for (const [incarnation, {until}] of this.#warming) {
			if (until <= now || this.#warming.size > maxEndpoints) {
				this.#warming.delete(incarnation);
			}
		}

		this.#dependencies.metrics.warmingEndpoints.set(this.#warming.size);
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}
