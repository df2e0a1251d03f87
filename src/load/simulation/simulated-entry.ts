/** One entry instance in virtual time: executes the decisions of its own policies, which share no state with other entries. */
import {AdmissionWindow} from '../../decision/admission/admission-window.js';
import {type AdmissionAction} from '../../decision/admission/admission-policy.js';
import {fetchPause} from '../../decision/cache/fetch-pause.js';
import {type EndpointView, type FetchPlan, type RouteRequest} from '../../decision/routing/routing-policy.js';
import {hashOf} from '../../shared/hash-of.js';
import {type EntryPolicies} from '../policies.js';
import {type EventQueue} from './event-queue.js';
import {type FakeEngine, blockTokens} from './fake-engine.js';
import {type FakeStore} from './fake-store.js';
import {type Outcome} from './outcome.js';

const maxAttempts = 4;

/** The components around an entry, and the latencies to them. */
export type EntryDependencies = {
	queue: EventQueue;
	engines: ReadonlyMap<string, FakeEngine>;
	stores: ReadonlyMap<string, FakeStore>;
	/** Returns the endpoints with the latest load reports that this entry has received. */
	views: () => readonly EndpointView[];
	/** Returns the one-way latency to a data centre in milliseconds. */
	latencyTo: (dataCentre: string) => number;
	clientMilliseconds: number;
	services: readonly string[];
	instances: number;
};

type FetchProgress = {endpoint: EndpointView; fetch: FetchPlan; sentAt: number; linkMilliseconds: number};
type Run = {outcome: Outcome; route: RouteRequest; isAdmitted: boolean};

export class SimulatedEntry {
	readonly name: string;
	readonly dataCentre: string;
	readonly policies: EntryPolicies;
	readonly #dependencies: EntryDependencies;
	readonly #windows: ReadonlyMap<string, AdmissionWindow>;
	readonly #runs = new Map<string, Run>();

	constructor(identity: {name: string; dataCentre: string}, policies: EntryPolicies, dependencies: EntryDependencies) {
		this.name = identity.name;
		this.dataCentre = identity.dataCentre;
		this.policies = policies;
		this.#dependencies = dependencies;
		this.#windows = new Map(dependencies.services.map(service => [service, new AdmissionWindow(service)]));
	}

	/** Handles the arrival of a caller's request. */
	arrive(outcome: Outcome): void {
		const {request} = outcome;
		const route = {
			...request, weightVersion: 'v1', avoid: [], pieceKeys: request.pieceKeys,
		};
		this.#runs.set(request.requestId, {outcome, route, isAdmitted: false});
		this.#execute(this.policies.admission.arrive(route, this.#dependencies.queue.now));
	}

	/** Lets the admission policy act on the time that has passed. */
	advance(): void {
		this.#execute(this.policies.admission.advance(this.#dependencies.queue.now));
	}

	/** Recomputes the admission capacity of each service from new load reports. */
	applyReports(): void {
		const {queue, views, instances} = this.#dependencies;
		const dither = hashOf(`${this.name}|${queue.now}`) / (2 ** 32);
		const endpoints = views();
		const linkSlowness = Math.max(1, ...[...this.policies.links.values()].map(link => link.slownessAt(queue.now)));
		for (const [service, window] of this.#windows) {
			let inFlight = 0;
			for (const {isAdmitted, route} of this.#runs.values()) {
				inFlight += isAdmitted && route.service === service && route.priority !== 'urgent' ? 1 : 0;
			}

			const capacity = window.applyReports(endpoints, {
				inFlight, instances, dither, linkSlowness,
			}, queue.now);
			this.#execute(this.policies.admission.setCapacity(service, capacity, queue.now));
		}
	}

	#execute(actions: readonly AdmissionAction[]): void {
		for (const action of actions) {
			const run = this.#runs.get(action.requestId)!;
			if (action.kind === 'admit') {
				run.isAdmitted = true;
				run.outcome.admittedAt = this.#dependencies.queue.now;
				this.#attempt(run);
			} else {
				const {reason, ran, retryAfterMilliseconds} = action.refusal;
				this.#runs.delete(action.requestId);
				Object.assign(run.outcome, {
					refusal: reason, ran, retryAfterMilliseconds, refusedAt: this.#dependencies.queue.now,
				});
			}
		}
	}

	#attempt(run: Run): void {
		const {queue, stores, views} = this.#dependencies;
		const choice = this.policies.routing.choose(run.route, views(), queue.now);
		if (choice.kind === 'none' || run.outcome.attempts >= maxAttempts) {
			Object.assign(run.outcome, {refusal: choice.kind === 'none' ? 'no-endpoint' : 'endpoint-failed', ran: run.outcome.attempts === 0 ? 'not-run' : 'unknown', refusedAt: queue.now});
			this.#finish(run);
			return;
		}

		const {endpoint, fetch} = choice;
		run.outcome.attempts++;
		const sentAt = queue.now;
		this.policies.routing.observe({kind: 'sent', endpoint: endpoint.name, request: run.route}, queue.now);
		const store = fetch === undefined ? undefined : stores.get(fetch.store);
		if (fetch === undefined || store === undefined) {
			this.#send(run, endpoint, sentAt);
			return;
		}

		this.#fetchFrom(store, run, {
			endpoint, fetch, sentAt, linkMilliseconds: 0,
		}, 0);
	}

	/**
	 * Fetches the blocks of a plan. An urgent request fetches all of them in one transfer, so that it queues at the link only
	 * once. Other requests fetch one block at a time and pause between blocks while the link is congested.
	 */
	#fetchFrom(store: FakeStore, run: Run, plan: FetchProgress, done: number): void {
		const {queue, engines} = this.#dependencies;
		const {endpoint, fetch, sentAt} = plan;
		const isUrgent = run.route.priority === 'urgent';
		const blockKeys = fetch.pieceKeys.slice(done, isUrgent ? undefined : done + 1);
		const requestedAt = queue.now;
		if (blockKeys.length === 0) {
			run.outcome.fetchMilliseconds += queue.now - sentAt;
			this.policies.routing.observe({
				kind: 'fetched',
				endpoint: endpoint.name,
				requestId: run.route.requestId,
				store: fetch.store,
				pieceKeys: fetch.pieceKeys,
				pieces: done,
				afterMilliseconds: queue.now - sentAt,
				linkMilliseconds: plan.linkMilliseconds,
			}, queue.now);
			this.#send(run, endpoint, sentAt);
			return;
		}

		store.fetch(blockKeys, found => {
			engines.get(endpoint.name)!.importBlocks(found);
			plan.linkMilliseconds += queue.now - requestedAt;
			const pause = this.policies.shouldPauseFetches ? fetchPause(run.route.priority, queue.now - requestedAt, store.idleMillisecondsPerBlock) : 0;
			const isAllFound = found.length === blockKeys.length;
			queue.after(pause, () => {
				this.#fetchFrom(store, run, isAllFound ? plan : {...plan, fetch: {...fetch, pieceKeys: fetch.pieceKeys.slice(0, done + found.length)}}, done + found.length);
			});
		});
	}

	#send(run: Run, endpoint: EndpointView, sentAt: number): void {
		const {queue, engines, latencyTo, clientMilliseconds} = this.#dependencies;
		const {routing} = this.policies;
		const {outcome, route} = run;
		const latencyMilliseconds = latencyTo(endpoint.dataCentre);
		let cachedTokens = 0;
		queue.after(latencyMilliseconds, () => {
			engines.get(endpoint.name)!.submit({
				...outcome.request,
				firstToken: cached => {
					cachedTokens = cached;
					queue.after(latencyMilliseconds, () => {
						outcome.firstTokenMilliseconds ??= queue.now + clientMilliseconds - outcome.request.arrivesAt;
						outcome.recomputedTokens += route.promptTokens - cached;
						routing.observe({
							kind: 'first-token', endpoint: endpoint.name, request: route, afterMilliseconds: queue.now - sentAt,
						}, queue.now);
						this.policies.admission.firstToken(route.requestId, queue.now);
						this.#saveBlocks(route, endpoint.name, cached);
					});
				},
				end: isWhole => {
					queue.after(latencyMilliseconds, () => {
						routing.observe({
							kind: 'ended', endpoint: endpoint.name, request: route, outcome: isWhole ? 'whole' : 'failed', cachedTokens,
						}, queue.now);
						this.#handleEnd(run, {endpoint: endpoint.name, isWhole, cachedTokens});
					});
				},
			});
		});
	}

	#handleEnd(run: Run, {endpoint, isWhole, cachedTokens}: {endpoint: string; isWhole: boolean; cachedTokens: number}): void {
		const {queue, clientMilliseconds} = this.#dependencies;
		const {outcome, route} = run;
		if (!isWhole) {
			run.route = {...route, avoid: [...route.avoid, endpoint]};
			this.#attempt(run);
			return;
		}

		outcome.wholeAnswers++;
		outcome.endedAt = queue.now + clientMilliseconds;
		this.#finish(run);
	}

	#saveBlocks(route: RouteRequest, endpoint: string, cachedTokens: number): void {
		const {queue, engines, stores} = this.#dependencies;
		const actions = this.policies.saving.prefilled({
			workspace: route.workspace, endpoint, pieceKeys: route.pieceKeys, reusedBlocks: cachedTokens / blockTokens,
		}, queue.now);
		for (const action of actions) {
			const engine = engines.get(action.endpoint)!;
			stores.get(action.store)?.save(action.pieceKeys.filter(key => engine.holds(key)));
		}
	}

	#finish({route}: Run): void {
		this.#runs.delete(route.requestId);
		this.#execute(this.policies.admission.finish(route.requestId, this.#dependencies.queue.now));
	}
}
