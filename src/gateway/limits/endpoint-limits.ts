/**
 * The limits that endpoints have named in their answers, and the permits to send to such endpoints.
 *
 * A limit holds for all instances together, so each request to such an endpoint needs a permit of the one coordinator. An
 * instance that does not reach it sends none: whatever a second party granted would add up to more than the limit.
 */
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type PermitAnswer, type PermitQuery} from '../coordinator/coordinator-messages.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';

/** Asks the coordinator for permits. */
export interface PermitSource {
	/** Whether one request may be sent to an endpoint; `undefined` if the coordinator does not answer or may not grant. */
	takePermit(permit: PermitQuery): Promise<PermitAnswer | undefined>;
}

export type EndpointLimitsDependencies = {
	clock: MomentClock;
	log: Pick<DecisionLog, 'record'>;
	metrics: Pick<GatewayMetrics, 'permits'>;
	permits: PermitSource;
};

/** An answer of an endpoint. */
export type LimitedAnswer = {
	/** The limit that it names, in requests a second, as text; `undefined` if it names none. */
	limit: string | undefined;
	/** Whether it proves that the endpoint served the request. Rejections and failures may lack headers of other answers. */
	isServed: boolean;
	/** When its request was sent, in milliseconds of the steady clock. */
	sentAt: number;
};

type KnownLimit = {
	limitPerSecond: number;
	/** When the last answer that named it arrived, in milliseconds of the steady clock. */
	namedAt: number;
	/** No permit is asked for before this time: the coordinator has just refused one. */
	deniedUntil: number;
};

/** Share of the time between two permits for which a refusal holds. */
const denialShare = 0.25;
const maxDenialMilliseconds = 500;
/** A caller waits for a coordinator that does not answer; the next ones within this time do not. */
const unansweredMilliseconds = 250;
/** Limits below this are taken for it, so that some request still finds out when the limit ends: one in a minute. */
const minLimitPerSecond = 1 / 60;
/** How many limits are remembered; far more than endpoints are in need at a time. */
const maxLimits = 1000;

export class EndpointLimits {
	readonly #dependencies: EndpointLimitsDependencies;
	readonly #limits = new Map<string, KnownLimit>();
	/** No permit is asked for before this time: the coordinator has just not answered. */
	#unansweredUntil = 0;

	constructor(dependencies: EndpointLimitsDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Records what an answer of an endpoint says of its limit. An answer may be read late: after a pause of this process, or
	 * from a slow link. So a limit is raised or ended only by an answer to a request that was sent after the last answer that named
	 * it had arrived.
	 */
	note(endpoint: EndpointRecord, {limit: named, isServed, sentAt}: LimitedAnswer): void {
		const incarnation = incarnationOf(endpoint);
		const known = this.#limits.get(incarnation);
		const limitPerSecond = parseLimit(named);
		if (limitPerSecond === undefined) {
			if (known !== undefined && isServed && sentAt >= known.namedAt) {
				this.#end(endpoint, sentAt);
			}

			return;
		}

		const isOlder = known !== undefined && sentAt < known.namedAt;
		if (known !== undefined && (limitPerSecond === known.limitPerSecond || (isOlder && limitPerSecond > known.limitPerSecond))) {
			known.namedAt = this.#now();
			return;
		}

		this.#dependencies.log.record('limit-named', {endpoint: endpoint.name, limitPerSecond});
		this.#limits.set(incarnation, {
			deniedUntil: 0, ...known, limitPerSecond, namedAt: this.#now(),
		});
		if (this.#limits.size > maxLimits) {
			this.#limits.delete(this.#limits.keys().next().value!);
		}
	}

	/** Whether one request may be sent to an endpoint now. A permit is used up by the question. */
	async maySend(endpoint: EndpointRecord): Promise<boolean> {
		const known = this.#limits.get(incarnationOf(endpoint));
		if (known === undefined) {
			return true;
		}

		if (this.#now() < Math.max(known.deniedUntil, this.#unansweredUntil)) {
			this.#dependencies.metrics.permits.inc({outcome: this.#now() < known.deniedUntil ? 'denied' : 'no-coordinator'});
			return false;
		}

		const incarnation = incarnationOf(endpoint);
		const {limitPerSecond, namedAt} = known;
		const answer = await this.#dependencies.permits.takePermit({incarnation, limitPerSecond, answeredMilliseconds: this.#now() - namedAt});
		this.#dependencies.metrics.permits.inc({outcome: answer ?? 'no-coordinator'});
		if (answer === undefined) {
			this.#unansweredUntil = this.#now() + unansweredMilliseconds;
			return false;
		}

		if (answer === 'denied') {
			known.deniedUntil = this.#now() + Math.min(maxDenialMilliseconds, denialShare * 1000 / limitPerSecond);
			return false;
		}

		if (answer === 'unlimited' && this.#limits.get(incarnation)?.namedAt === namedAt) {
			this.#limits.delete(incarnation);
			this.#dependencies.log.record('limit-named', {endpoint: endpoint.name, limitPerSecond: null, isRelayed: true});
		}

		return true;
	}

	/** Ends a limit here and at the other instances: each would otherwise have to find out by a request at the pace of the limit. */
	#end(endpoint: EndpointRecord, sentAt: number): void {
		const incarnation = incarnationOf(endpoint);
		this.#dependencies.log.record('limit-named', {endpoint: endpoint.name, limitPerSecond: null});
		this.#limits.delete(incarnation);
		void this.#dependencies.permits.takePermit({incarnation, limitPerSecond: null, answeredMilliseconds: this.#now() - sentAt});
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}

/** Returns the limit; `undefined` for a text that is no number, which limits nothing. */
function parseLimit(text: string | undefined): number | undefined {
	const limit = text === undefined || text.trim() === '' ? Number.NaN : Number(text);
	return Number.isFinite(limit) && limit >= 0 ? Math.max(minLimitPerSecond, limit) : undefined;
}
