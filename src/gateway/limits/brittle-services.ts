/**
 * The services whose endpoints have said that they are brittle: one that has to turn away more than a few requests in a second
 * falls over, and its load then falls on the others.
 *
 * What an endpoint turns away is the sum of what all instances send it. So each request to an endpoint of such a service needs a
 * slot there, which the coordinator grants. An instance to which nobody grants slots sends only its own part; one whose answer is
 * late sends nothing, since the coordinator may have granted its part to another one.
 */
import {hashOf} from '../../shared/hash-of.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';
import {type HeldSlots} from './held-slots.js';

/** What an instance has seen of a service: whether its endpoints are brittle, and how long ago. */
export type BrittleReport = {service: string; isBrittle: boolean; ageMilliseconds: number};

/**
 * The answer to a question for a slot. `late`: it did not arrive in time, although slots can be granted. `unavailable`: nobody grants
 * slots at present.
 */
export type SlotAnswer = 'granted' | 'denied' | 'late' | 'unavailable';

/** Asks the coordinator for slots. */
export interface SlotSource {
	/** How many instances report to the coordinator, by its last answer; 0 before. */
	readonly instances: number;
	/** Asks to send one request to an endpoint. */
	takeSlot(endpoint: string, slots: number): Promise<SlotAnswer>;
	/** Reports the requests in flight, so that slots are free again. */
	report(): void;
}

export type BrittleServicesDependencies = {
	instance: string;
	clock: MomentClock;
	log: Pick<DecisionLog, 'record'>;
	metrics: Pick<GatewayMetrics, 'slots'>;
	slots: SlotSource;
	/** The slots that this instance holds beside its requests in flight. */
	held: Pick<HeldSlots, 'use' | 'cancel' | 'count'>;
	/** Requests of this instance in flight at an endpoint. */
	requestsAt: (endpoint: EndpointRecord) => number;
};

/** An answer of an endpoint. */
export type BrittleAnswer = {
	/** What it states; `undefined` if it states nothing. */
	brittle: string | undefined;
	/** Whether it proves that the endpoint served the request. Rejections and failures may lack headers of other answers. */
	isServed: boolean;
	/** When its request was sent, in milliseconds of the steady clock. */
	sentAt: number;
};

type Observation = {isBrittle: boolean; at: number};

/** A service of which no answer was seen for this long is no longer taken for brittle. */
const maxAgeMilliseconds = 30_000;
/** For how long a refused slot is not asked for again: a few requests end in that time. */
const deniedMilliseconds = 40;
/** An endpoint that had no room for a granted request has other requests than the instances know of; it counts them by the second. */
const turnedAwayMilliseconds = 1000;
const unavailableMilliseconds = 250;
/** Assumed by an instance that has just started and has not reached a coordinator yet. */
const assumedInstances = 32;
/** The label of each answer in the metrics. */
const slotOutcomes = {
	granted: 'granted', denied: 'denied', late: 'denied', unavailable: 'no-coordinator',
} as const satisfies Record<SlotAnswer, string>;
/** How many refused slots are remembered; the earliest is dropped first. */
const maxDenials = 1000;

export class BrittleServices {
	readonly #dependencies: BrittleServicesDependencies;
	/** The latest observation of each service that was ever brittle. */
	readonly #observations = new Map<string, Observation>();
	readonly #deniedUntil = new Map<string, number>();
	#unavailableUntil = 0;
	#lateUntil = 0;

	constructor(dependencies: BrittleServicesDependencies) {
		this.#dependencies = dependencies;
	}

	/** Records what an answer says. One to a request that was sent before the last statement arrived does not end it. */
	note({service, name}: EndpointRecord, {brittle, isServed, sentAt}: BrittleAnswer): void {
		const known = this.#observations.get(service);
		const isBrittle = brittle !== undefined && Number.isFinite(Number.parseFloat(brittle));
		if (isBrittle) {
			this.#observe(service, {isBrittle, at: this.#now()}, name);
		} else if (known?.isBrittle === true && isServed && sentAt >= known.at) {
			this.#observe(service, {isBrittle, at: sentAt}, name);
		}
	}

	/** What this instance knows, for the others. */
	reports(): BrittleReport[] {
		const now = this.#now();
		return [...this.#observations].map(([service, {isBrittle, at}]) => ({service, isBrittle, ageMilliseconds: Math.round(now - at)}));
	}

	/** Applies what other instances know; the latest observation counts. */
	apply(reports: readonly BrittleReport[]): void {
		for (const {service, isBrittle, ageMilliseconds} of reports) {
			const at = this.#now() - ageMilliseconds;
			if (at > (this.#observations.get(service)?.at ?? Number.NEGATIVE_INFINITY) && ageMilliseconds < maxAgeMilliseconds) {
				this.#observe(service, {isBrittle, at});
			}
		}
	}

	/** Whether one request may be sent to an endpoint now. A slot is taken by the question. */
	async maySend(endpoint: EndpointRecord): Promise<boolean> {
		if (!this.#isBrittle(endpoint.service)) {
			return true;
		}

		const {metrics} = this.#dependencies;
		const now = this.#now();
		if (now < Math.max(this.#lateUntil, this.#deniedUntil.get(endpoint.name) ?? 0)) {
			metrics.slots.inc({outcome: 'denied'});
			return false;
		}

		const answer = now < this.#unavailableUntil ? 'unavailable' : await this.#askCoordinator(endpoint);
		metrics.slots.inc({outcome: slotOutcomes[answer]});
		return answer === 'unavailable' ? this.#isWithinOwnPart(endpoint) : answer === 'granted';
	}

	/** Records that a request is sent to an endpoint. */
	noteSent({name}: EndpointRecord): void {
		this.#dependencies.held.use(name);
	}

	/** Records that a request at an endpoint has ended, and whether the endpoint turned it away or this instance cancelled it. */
	noteEnded({service, name}: EndpointRecord, end: 'answered' | 'turned-away' | 'cancelled'): void {
		if (!this.#isBrittle(service)) {
			return;
		}

		if (end === 'cancelled') {
			this.#dependencies.held.cancel(name, this.#now());
		}

		this.#dependencies.slots.report();
		if (end === 'turned-away') {
			this.#deny(name, this.#now() + turnedAwayMilliseconds);
		}
	}

	/** Asks for a slot. Only a question that was asked postpones the next one; else a steady load would postpone it for ever. */
	async #askCoordinator({name, slots}: EndpointRecord): Promise<SlotAnswer> {
		const answer = await this.#dependencies.slots.takeSlot(name, slots);
		const now = this.#now();
		switch (answer) {
			case 'granted': {
				break;
			}

			case 'denied': {
				this.#deny(name, now + deniedMilliseconds);
				break;
			}

			case 'late': {
				this.#lateUntil = now + deniedMilliseconds;
				break;
			}

			case 'unavailable': {
				this.#unavailableUntil = now + unavailableMilliseconds;
				break;
			}
		}

		return answer;
	}

	/** The part of the slots that each instance has without a coordinator; where it is less than one, some instances have one. */
	#isWithinOwnPart(endpoint: EndpointRecord): boolean {
		const {instance, slots: {instances}, requestsAt, held} = this.#dependencies;
		const part = endpoint.slots / (instances === 0 ? assumedInstances : instances);
		const drawn = hashOf(`${instance}|${endpoint.name}`) / (2 ** 32);
		return requestsAt(endpoint) + held.count(endpoint.name, this.#now()) < Math.floor(part) + (drawn < part % 1 ? 1 : 0);
	}

	#deny(endpoint: string, until: number): void {
		this.#deniedUntil.delete(endpoint);
		this.#deniedUntil.set(endpoint, until);
		if (this.#deniedUntil.size > maxDenials) {
			this.#deniedUntil.delete(this.#deniedUntil.keys().next().value!);
		}
	}

	#isBrittle(service: string): boolean {
		const known = this.#observations.get(service);
		return known?.isBrittle === true && this.#now() - known.at < maxAgeMilliseconds;
	}

	#observe(service: string, observation: Observation, endpoint?: string): void {
		const wasBrittle = this.#isBrittle(service);
		this.#observations.set(service, observation);
		if (wasBrittle !== observation.isBrittle) {
			this.#dependencies.log.record('service-brittle', {service, isBrittle: observation.isBrittle, endpoint});
		}
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}
