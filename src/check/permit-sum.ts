/**
 * Checks in virtual time that an endpoint with a limit gets no more than it allows from all instances together, whoever grants
 * the permits: while instances reach the coordinator, only its standby, or neither, while leases lapse and change hands, and
 * while the store is unavailable, so that nobody holds a lease.
 */
import {EndpointLimits} from '../gateway/limits/endpoint-limits.js';
import {type PeerUpdateSource, PeerUpdateSources} from '../gateway/coordinator/peer-update-sources.js';
import {PermitGrants} from '../gateway/coordinator/permit-grants.js';
import {type PermitAnswer, type PermitQuery} from '../gateway/coordinator/coordinator-messages.js';
import {GatewayMetrics} from '../gateway/observability/gateway-metrics.js';
import {testEndpoint} from '../gateway/testing/test-endpoint.js';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';

/** The most arrivals in any window, and how many the limit allows in it. */
export type PermitSum = {seed: number; limitPerSecond: number; most: number; allowed: number};

const windowMilliseconds = 4000;
const allowedRatio = 1.5;
const allowedExtra = 5;
const stepMilliseconds = 10;
const runMilliseconds = 60_000;
/** Upper bound of the time from a permit to the arrival of its request. */
const maxSendMilliseconds = 250;
const maxAnswerMilliseconds = 1500;

/** A state that changes at random times. */
class Switch {
	#isOn = true;
	#until = 0;
	readonly #choices: Choices;
	readonly #onMilliseconds: readonly [number, number];
	readonly #offMilliseconds: readonly [number, number];

	constructor(choices: Choices, onMilliseconds: readonly [number, number], offMilliseconds: readonly [number, number]) {
		this.#choices = choices;
		this.#onMilliseconds = onMilliseconds;
		this.#offMilliseconds = offMilliseconds;
	}

	/** Whether it is on; `now` must not decrease. */
	isOnAt(now: number): boolean {
		if (now >= this.#until) {
			this.#isOn = !this.#isOn;
			this.#until = now + this.#choices.between(...(this.#isOn ? this.#onMilliseconds : this.#offMilliseconds));
		}

		return this.#isOn;
	}
}

/** The holders of one of the two leases, one after another. */
class Grantor {
	readonly #choices: Choices;
	readonly #isHeld: Switch;
	#grants = new PermitGrants();
	#wasHeld = false;

	constructor(choices: Choices) {
		this.#choices = choices;
		this.#isHeld = new Switch(choices, [2000, 15_000], [1500, 12_000]);
	}

	answer(query: PermitQuery, now: number): PermitAnswer | undefined {
		const isHeld = this.#isHeld.isOnAt(now);
		if (isHeld && !this.#wasHeld && this.#choices.chance(50)) {
			this.#grants = new PermitGrants();
		}

		this.#wasHeld = isHeld;
		return isHeld ? this.#grants.answer(query, now) : undefined;
	}
}

/** Runs one seed. */
export async function runPermitSum(seed: number): Promise<PermitSum> {
	const choices = Choices.fromSeed(hashOf(`permit sum ${seed}`));
	const limitPerSecond = choices.between(6, 80) / 10;
	const endpoint = testEndpoint();
	let now = 0;
	const clock = {
		moment: () => ({steady: now, wall: now}),
		async sleep() {
			// Time advances by steps.
		},
	};
	const [coordinator, standby] = [new Grantor(choices), new Grantor(choices)];
	const sourceAt = (grantor: Grantor): PeerUpdateSource => {
		const reach = new Switch(choices, [200, 4000], [100, 3000]);
		return {
			isResponsive: true,
			isConnected: true,
			grantsSlots: true,
			instances: 1,
			takeSlot: async () => 'granted',
			refresh: async () => true,
			report() {
				// Loads play no part here.
			},
			takePermit: async query => reach.isOnAt(now) ? grantor.answer(query, now) : undefined,
		};
	};

	const createLimits = (): EndpointLimits => {
		const limits = new EndpointLimits({
			clock,
			log: {
				record() {
					// The arrivals are judged.
				},
			},
			metrics: new GatewayMetrics(),
			permits: new PeerUpdateSources(sourceAt(coordinator), sourceAt(standby), () => clock.moment().steady),
		});
		limits.note(endpoint, {limit: String(limitPerSecond), isServed: true, sentAt: now});
		return limits;
	};

	const instances = Array.from({length: choices.between(2, 20)}, createLimits);
	const requestPercent = choices.oneOf([20, 50, 100]);
	const arrivals: number[] = [];
	const answers = new Map<number, Array<{sentAt: number; limits: EndpointLimits}>>();
	for (; now < runMilliseconds; now += stepMilliseconds) {
		for (const {limits, sentAt} of answers.get(now) ?? []) {
			limits.note(endpoint, {limit: String(limitPerSecond), isServed: true, sentAt});
		}

		const limits = choices.oneOf(instances);
		if (choices.chance(requestPercent) && await limits.maySend(endpoint)) {
			arrivals.push(now + choices.between(0, maxSendMilliseconds));
			const answerSteps = Math.ceil(choices.between(0, maxAnswerMilliseconds) / stepMilliseconds);
			const answeredAt = now + (answerSteps * stepMilliseconds);
			answers.set(answeredAt, [...(answers.get(answeredAt) ?? []), {sentAt: now, limits}]);
		}
	}

	const most = Math.max(0, ...arrivals.map(start => arrivals.filter(at => at >= start && at < start + windowMilliseconds).length));
	return {
		seed, limitPerSecond, most, allowed: (allowedRatio * limitPerSecond * windowMilliseconds / 1000) + allowedExtra,
	};
}
