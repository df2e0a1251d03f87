/**
 * Decides which requests are admitted, wait or are refused. A policy is a state machine: each call takes an event and the
 * current time and returns the actions that follow, for this request and others.
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

/** Action for one request. A request without an action waits. */
export type AdmissionAction
	= | {kind: 'admit'; requestId: string}
		| {kind: 'refuse'; requestId: string; refusal: Refusal};

/** How many requests of a service this instance may have in flight: non-urgent and urgent ones. */
export type ServiceCapacity = {
	maxRequests: number;
	maxUrgentRequests: number;
};

/** Admits requests. */
export interface AdmissionPolicy {
	/** A request arrived. */
	arrive(request: AdmissionRequest, now: number): AdmissionAction[];
	/** The first token of an admitted request arrived. */
	firstToken(requestId: string, now: number): void;
	/** An admitted request ended. */
	finish(requestId: string, now: number): AdmissionAction[];
	/** The caller of a waiting or admitted request has disconnected. */
	cancel(requestId: string, now: number): AdmissionAction[];
	/** Time has passed: deadlines are checked. */
	advance(now: number): AdmissionAction[];
	/** Sets how many requests of a service this instance may have in flight from now on. */
	setCapacity(service: string, capacity: ServiceCapacity, now: number): AdmissionAction[];
	/** The waiting requests, for operators. */
	waiting(): readonly AdmissionRequest[];
}
