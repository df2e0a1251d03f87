/**
 * Who is let in, who waits and who is turned away. A policy is a state machine: each call takes an event and the
 * present time and gives the actions that follow, for this and for other requests.
 */
import {type PriorityClass, type Refusal} from '../../shared/types.js';

/** What a policy needs to know of a request. */
export type AdmissionRequest = {
	requestId: string;
	workspace: string;
	/** The workspace's declared weight. */
	share: number;
	service: string;
	priority: PriorityClass;
	promptTokens: number;
	/** When the caller needs the first token, in milliseconds since the epoch. */
	deadline: number;
};

/** What follows for one request. A request without an action waits. */
export type AdmissionAction
	= | {kind: 'admit'; requestId: string}
		| {kind: 'refuse'; requestId: string; refusal: Refusal};

/** How many requests of a service this instance may have under way: those that can wait, and urgent ones. */
export type ServiceCapacity = {
	places: number;
	urgentPlaces: number;
};

/** Lets requests in. */
export interface AdmissionPolicy {
	/** A request came. */
	arrive(request: AdmissionRequest, now: number): AdmissionAction[];
	/** The first token of an admitted request came. */
	firstToken(requestId: string, now: number): void;
	/** An admitted request ended. */
	finish(requestId: string, now: number): AdmissionAction[];
	/** The caller of a request that waits or was admitted hung up. */
	cancel(requestId: string, now: number): AdmissionAction[];
	/** Time passed: deadlines are looked at. */
	advance(now: number): AdmissionAction[];
	/** How many requests of a service this instance may have under way, as known now. */
	setCapacity(service: string, capacity: ServiceCapacity, now: number): AdmissionAction[];
	/** Requests that wait, for operators. */
	waiting(): readonly AdmissionRequest[];
}
