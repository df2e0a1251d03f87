/** The limits that endpoints have named in their answers. */
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type DecisionLog} from '../observability/decision-log.js';

/** Limits below this are taken for it, so that some request still finds out when the limit ends: one in a minute. */
const minLimitPerSecond = 1 / 60;
/** How many limits are remembered; far more than endpoints are in need at a time. */
const maxLimits = 1000;

export class EndpointLimits {
	readonly #log: Pick<DecisionLog, 'record'>;
	readonly #limits = new Map<string, number>();

	constructor(log: Pick<DecisionLog, 'record'>) {
		this.#log = log;
	}

	/**
	 * Records what an answer of an endpoint says of its limit.
	 *
	 * @param endpoint - The endpoint that answered.
	 * @param named - The limit in requests a second, as text; `undefined` if the answer names none, which ends the limit.
	 */
	note(endpoint: EndpointRecord, named: string | undefined): void {
		const incarnation = incarnationOf(endpoint);
		const limitPerSecond = parseLimit(named);
		if (limitPerSecond === this.#limits.get(incarnation)) {
			return;
		}

		this.#log.record('limit-named', {endpoint: endpoint.name, limitPerSecond: limitPerSecond ?? null});
		if (limitPerSecond === undefined) {
			this.#limits.delete(incarnation);
			return;
		}

		this.#limits.set(incarnation, limitPerSecond);
		if (this.#limits.size > maxLimits) {
			this.#limits.delete(this.#limits.keys().next().value!);
		}
	}
}

/** Returns the limit; `undefined` for a text that is no number, which limits nothing. */
function parseLimit(text: string | undefined): number | undefined {
	const limit = text === undefined || text.trim() === '' ? Number.NaN : Number(text);
	return Number.isFinite(limit) && limit >= 0 ? Math.max(minLimitPerSecond, limit) : undefined;
}
