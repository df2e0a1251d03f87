/**
 * Decides for which services an endpoint with an idle connection is preferred, and which endpoints have one.
 *
 * A new connection takes a round trip, and processor time at both ends. Where an instance sends fewer requests than a service
 * has endpoints while an idle connection is kept, most of its connections reach their idle timeout before they are used again.
 * Among endpoints that serve a request equally well, one with an idle connection costs less, and its connection is kept for longer.
 * Where requests return to each endpoint in time anyway, a preference would save nothing, so there is none.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type Candidate} from '../placement/candidate.js';
import {chooseIdle} from './choose-idle.js';
import {type ConnectionView} from './connection-view.js';
import {type ExpectedConnection} from './expected-connection.js';

/** Where an idle connection counts: in the draw of the candidates, among those of about the same cost, or in both. */
export type PreferredIn = 'draw' | 'cost' | 'both';

/** Over how long the rate of requests is averaged: long enough for a steady figure, short enough to follow a wave of demand. */
const rateMilliseconds = 5000;
/** Weight of the latest idle time of a connection in the mean of its service. */
const keptWeight = 0.1;

type ServiceState = {
	endpoints: number;
	/** Requests sent, each weighted by its age. */
	sent: number;
	sentAt: number;
	keptMilliseconds: number | undefined;
};

export class ConnectionPreference {
	readonly #connections: ConnectionView;
	readonly #connectionLimitOf: (service: string) => number;
	readonly #preferredIn: PreferredIn;
	readonly #services = new Map<string, ServiceState>();

	/**
	 * @param connections - The connections of this instance.
	 * @param connectionLimitOf - Returns the maximum number of connections to an endpoint of a service from all instances together;
	 * 0 where there is none.
	 * @param preferredIn - Where an idle connection counts.
	 */
	constructor(connections: ConnectionView, connectionLimitOf: (service: string) => number, preferredIn: PreferredIn = 'both') {
		this.#connections = connections;
		this.#connectionLimitOf = connectionLimitOf;
		this.#preferredIn = preferredIn;
	}

	/** Records how many endpoints of a service requests can be sent to. */
	noteEndpoints(service: string, count: number): void {
		if (this.#connectionLimitOf(service) > 0) {
			this.#stateOf(service).endpoints = count;
		}
	}

	/** Records that a request is sent to an endpoint. */
	noteSent({service, address}: EndpointRecord, now: number): void {
		if (this.#connectionLimitOf(service) === 0) {
			this.#services.delete(service);
			return;
		}

		const state = this.#stateOf(service);
		state.sent = sentAt(state, now) + 1;
		state.sentAt = now;
		const kept = this.#connections.keptMilliseconds(address);
		if (kept !== undefined) {
			state.keptMilliseconds = state.keptMilliseconds === undefined ? kept : state.keptMilliseconds + (keptWeight * (kept - state.keptMilliseconds));
		}
	}

	/**
	 * Whether endpoints of a service with an idle connection are preferred now: where its endpoints limit their connections, and are
	 * more than the requests that this instance sends while a connection is kept idle.
	 */
	isEnabled(service: string, now: number): boolean {
		const state = this.#services.get(service);
		return state?.keptMilliseconds !== undefined && this.#connectionLimitOf(service) > 0
			&& state.endpoints > sentAt(state, now) * state.keptMilliseconds / rateMilliseconds;
	}

	/** Returns the check by which candidates are drawn; `undefined` where none is preferred. */
	drawCheck(service: string, now: number): ((endpoint: EndpointRecord) => boolean) | undefined {
		return this.#preferredIn !== 'cost' && this.isEnabled(service, now)
			? ({address}) => this.#connections.hasIdle(address, now)
			: undefined;
	}

	/** What a request to an endpoint would use; `undefined` where that is not considered. */
	expectedAt({service, address}: EndpointRecord, now: number): ExpectedConnection | undefined {
		if (!this.isEnabled(service, now)) {
			return undefined;
		}

		return this.#connections.hasIdle(address, now) ? 'idle' : 'new';
	}

	/** Returns the candidate to send to, given the one of the least cost and all others. */
	choose(best: Candidate, candidates: readonly Candidate[]): Candidate {
		return this.#preferredIn === 'draw' ? best : chooseIdle(best, candidates);
	}

	#stateOf(service: string): ServiceState {
		let state = this.#services.get(service);
		if (state === undefined) {
			state = {
				endpoints: 0, sent: 0, sentAt: 0, keptMilliseconds: undefined,
			};
			this.#services.set(service, state);
		}

		return state;
	}
}

/** The weighted number of requests sent, at a later time. */
function sentAt({sent, sentAt: at}: ServiceState, now: number): number {
	return sent * Math.exp((at - now) / rateMilliseconds);
}
