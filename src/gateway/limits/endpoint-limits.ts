/**
 * The limits that endpoints have named in their answers, and the permits to send to such endpoints.
 *
 * A limit holds for all instances together, so each request to such an endpoint needs a permit of the coordinator, or of its
 * standby while the coordinator does not answer. An instance that reaches neither sends at most its own share.
 */
import {PermitBucket} from '../../decision/limits/permit-bucket.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type PermitQuery} from '../coordinator/coordinator-messages.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';

/** Asks the coordinator for permits. */
export interface PermitSource {
	/** Whether one request may be sent to an endpoint; `undefined` if neither the coordinator nor its standby answers. */
	takePermit(permit: PermitQuery): Promise<boolean | undefined>;
}

export type EndpointLimitsDependencies = {
	clock: MomentClock;
	log: Pick<DecisionLog, 'record'>;
	metrics: Pick<GatewayMetrics, 'permits'>;
	permits: PermitSource;
	/** How many instances there are, as far as known; 0 before. */
	instances: () => number;
};

type KnownLimit = {
	limitPerSecond: number;
	/** No permit is asked for before this time: the coordinator has just refused one. */
	deniedUntil: number;
	/** This instance's own share, for the time in which nobody grants permits. */
	ownShare: PermitBucket | undefined;
};

/** Share of the time between two permits for which a refusal holds. */
const denialShare = 0.25;
const maxDenialMilliseconds = 500;
/** Limits below this are taken for it, so that some request still finds out when the limit ends: one in a minute. */
const minLimitPerSecond = 1 / 60;
/** How many limits are remembered; far more than endpoints are in need at a time. */
const maxLimits = 1000;

export class EndpointLimits {
	readonly #dependencies: EndpointLimitsDependencies;
	readonly #limits = new Map<string, KnownLimit>();

	constructor(dependencies: EndpointLimitsDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Records what an answer of an endpoint says of its limit.
	 *
	 * @param endpoint - The endpoint that answered.
	 * @param named - The limit in requests a second, as text; `undefined` if the answer names none, which ends the limit.
	 */
	note(endpoint: EndpointRecord, named: string | undefined): void {
		const incarnation = incarnationOf(endpoint);
		const known = this.#limits.get(incarnation);
		const limitPerSecond = parseLimit(named);
		if (limitPerSecond === known?.limitPerSecond) {
			return;
		}

		this.#dependencies.log.record('limit-named', {endpoint: endpoint.name, limitPerSecond: limitPerSecond ?? null});
		if (limitPerSecond === undefined) {
			this.#limits.delete(incarnation);
			return;
		}

		this.#limits.set(incarnation, {
			deniedUntil: 0, ownShare: undefined, ...known, limitPerSecond,
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

		if (this.#now() < known.deniedUntil) {
			this.#dependencies.metrics.permits.inc({outcome: 'denied'});
			return false;
		}

		const {limitPerSecond} = known;
		const granted = await this.#dependencies.permits.takePermit({incarnation: incarnationOf(endpoint), limitPerSecond});
		const isGranted = granted ?? this.#takeOwnShare(known);
		known.ownShare = granted === undefined ? known.ownShare : undefined;
		if (!isGranted) {
			known.deniedUntil = this.#now() + Math.min(maxDenialMilliseconds, denialShare * 1000 / limitPerSecond);
		}

		const grantedBy = granted === undefined ? 'own-share' : 'granted';
		this.#dependencies.metrics.permits.inc({outcome: isGranted ? grantedBy : 'denied'});
		return isGranted;
	}

	/** An own share starts empty: the coordinator may have granted permits until just now. */
	#takeOwnShare(known: KnownLimit): boolean {
		const now = this.#now();
		known.ownShare ??= new PermitBucket(0, now);
		return known.ownShare.take(known.limitPerSecond / Math.max(1, this.#dependencies.instances()), now);
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
