/** Runs one workload with one policy in virtual time. The run is deterministic: equal arguments give equal results. */
import {type CacheEvent, type LoadReport} from '../../ports/model-engine.js';
import {type EndpointView} from '../../decision/routing/routing-policy.js';
import {policies} from '../policies.js';
import {generateRequests, type WorkloadRequest} from '../workload/generate-requests.js';
import {Random} from '../workload/random.js';
import {type Workload} from '../workload/workload-schema.js';
import {EventQueue} from './event-queue.js';
import {FakeEngine, blockTokens} from './fake-engine.js';
import {FakeStore} from './fake-store.js';
import {type Fault} from './fault.js';
import {type Outcome} from './outcome.js';
import {SimulatedEntry} from './simulated-entry.js';

const entryAdvanceMilliseconds = 100;
const eventBatchMilliseconds = 500;

/** Workload, policy, seed and faults of one run. */
export type SimulationPlan = {
	workload: Workload;
	policy: string;
	seed: number;
	loadFactor: number;
	faults?: readonly Fault[];
	/** Selects the requests that are part of the run; all when absent. */
	includes?: (request: WorkloadRequest) => boolean;
	/** Transforms the generated requests into a load pattern that a workload file can't express. */
	reshape?: (requests: readonly WorkloadRequest[]) => readonly WorkloadRequest[];
};

/** The result of a run: an outcome for each request, and the bytes that crossed the stores' links. */
export type SimulationResult = {
	outcomes: readonly Outcome[];
	linkBytes: number;
};

/** Runs a plan to the end of its workload. */
export function runSimulation(plan: SimulationPlan): SimulationResult {
	return new Simulation(plan).run();
}

class Simulation {
	readonly #plan: SimulationPlan;
	readonly #queue = new EventQueue();
	readonly #random: Random;
	readonly #engines = new Map<string, FakeEngine>();
	readonly #stores = new Map<string, FakeStore>();
	readonly #entries: SimulatedEntry[];
	readonly #pendingEvents = new Map<string, CacheEvent[]>();
	#views: readonly EndpointView[] = [];
	#reportLagMilliseconds: number;
	#isolatedDataCentre = '';

	constructor(plan: SimulationPlan) {
		this.#plan = plan;
		this.#random = new Random(plan.seed + 17);
		this.#reportLagMilliseconds = plan.workload.loadReport.lagMilliseconds;
		this.#buildEngines();
		this.#buildStores();
		this.#entries = this.#buildEntries();
	}

	run(): SimulationResult {
		const {workload, seed, loadFactor, includes, reshape, faults = []} = this.#plan;
		const generated = generateRequests(workload, seed, loadFactor).filter(request => includes?.(request) ?? true);
		const requests = reshape?.(generated) ?? generated;
		const outcomes = requests.map(request => ({
			request, fetchMilliseconds: 0, recomputedTokens: 0, attempts: 0, wholeAnswers: 0,
		}));
		this.#every(workload.loadReport.everyMilliseconds, () => {
			this.#publishLoad();
		});
		this.#every(eventBatchMilliseconds, () => {
			this.#deliverCacheEvents();
		});
		this.#every(entryAdvanceMilliseconds, () => {
			for (const entry of this.#entries) {
				entry.advance();
			}
		});
		this.#preload(requests);
		for (const fault of faults) {
			this.#scheduleFault(fault);
		}

		for (const outcome of outcomes) {
			const entry = this.#entries[this.#random.index(this.#entries.length)]!;
			this.#queue.after(outcome.request.arrivesAt + workload.clientMilliseconds, () => {
				entry.arrive(outcome);
			});
		}

		this.#queue.runUntil(workload.seconds * 1000);
		return {outcomes, linkBytes: [...this.#stores.values()].reduce((sum, {linkBytes}) => sum + linkBytes, 0)};
	}

	/** Fills the stores with contexts that were used hours ago, if the policy saves blocks; engines have evicted them since. */
	#preload(requests: readonly WorkloadRequest[]): void {
		const prompts = new Map(requests.filter(({isUsedBefore, pieceKeys}) => isUsedBefore && pieceKeys.length > 0).map(request => [request.pieceKeys[0]!, request]));
		const [entry] = this.#entries;
		for (const {workspace, pieceKeys} of prompts.values()) {
			for (const action of entry!.policies.saving.prefilled({
				workspace, endpoint: '', pieceKeys, reusedBlocks: 0,
			}, 0)) {
				this.#stores.get(action.store)?.preload(action.pieceKeys);
			}
		}
	}

	#every(milliseconds: number, run: () => void): void {
		run();
		this.#queue.after(milliseconds, () => {
			this.#every(milliseconds, run);
		});
	}

	#buildEngines(): void {
		const {services, dataCentres} = this.#plan.workload;
		for (const service of services) {
			for (let index = 0; index < service.engines; index++) {
				const name = `${service.name}-${index}`;
				const identity = {name, dataCentre: `centre-${index % dataCentres}`, service: service.name};
				this.#engines.set(name, new FakeEngine(identity, service.engine, {queue: this.#queue, publish: this.#publisher(name)}));
			}
		}

		this.#views = [...this.#engines.values()].map(engine => viewOf(engine, engine.report(), 0));
	}

	#buildStores(): void {
		const {stores} = this.#plan.workload;
		for (let index = 0; index < stores.count; index++) {
			const name = `store-${index}`;
			this.#stores.set(name, new FakeStore(name, stores, {queue: this.#queue, publish: this.#publisher(name)}));
		}
	}

	#buildEntries(): SimulatedEntry[] {
		const {policy, workload} = this.#plan;
		return Array.from({length: workload.entries}, (_, index) => {
			const dataCentre = `centre-${index % workload.dataCentres}`;
			const own = policies[policy]!({
				index, dataCentre, stores: [...this.#stores.keys()], pieceBytes: workload.stores.pieceBytes, linkBytesPerSecond: workload.stores.linkBytesPerSecond, instances: workload.entries,
			});
			for (const engine of this.#engines.values()) {
				own.prefixes.setCapacity(engine.name, Math.floor(engine.report().kvTokensCapacity / blockTokens));
			}

			return new SimulatedEntry({name: `entry-${index}`, dataCentre}, own, {
				queue: this.#queue,
				engines: this.#engines,
				stores: this.#stores,
				views: () => this.#isolatedDataCentre === '' ? this.#views : this.#views.filter(view => (view.dataCentre === this.#isolatedDataCentre) === (dataCentre === this.#isolatedDataCentre)),
				latencyTo: target => target === dataCentre ? 0.2 : workload.betweenDataCentresMilliseconds,
				clientMilliseconds: workload.clientMilliseconds,
				services: workload.services.map(({name}) => name),
				instances: workload.entries,
			});
		});
	}

	#publisher(name: string): (event: CacheEvent) => void {
		return event => {
			const events = this.#pendingEvents.get(name) ?? [];
			events.push(event);
			this.#pendingEvents.set(name, events);
		};
	}

	#publishLoad(): void {
		const reports = [...this.#engines.values()].filter(({isDown}) => !isDown).map(engine => ({engine, report: engine.report()}));
		this.#queue.after(this.#reportLagMilliseconds, () => {
			const fresh = new Map(reports.map(({engine, report}) => [engine.name, viewOf(engine, report, this.#queue.now)]));
			this.#views = this.#views.map(view => fresh.get(view.name) ?? view);
			for (const entry of this.#entries) {
				entry.applyReports();
			}
		});
	}

	#deliverCacheEvents(): void {
		const {lagMilliseconds, lostShare} = this.#plan.workload.cacheEvents;
		const batches = [...this.#pendingEvents.entries()];
		this.#pendingEvents.clear();
		this.#queue.after(lagMilliseconds, () => {
			for (const {policies: {prefixes}} of this.#entries) {
				for (const [name, events] of batches) {
					prefixes.applyEvents(name, events.filter(() => this.#random.fraction() >= lostShare));
				}
			}
		});
	}

	#scheduleFault(fault: Fault): void {
		this.#queue.after(fault.from, () => {
			this.#setFault(fault, true);
		});
		this.#queue.after(fault.until, () => {
			this.#setFault(fault, false);
		});
	}

	#setFault({kind, target, factor}: Fault, isOn: boolean): void {
		const engine = this.#engines.get(target);
		const store = this.#stores.get(target);
		switch (kind) {
			case 'engine-dies': {
				if (isOn) {
					engine!.crash();
				} else {
					engine!.isDown = false;
				}

				break;
			}

			case 'engine-slow': {
				engine!.slowdownFactor = isOn ? factor : 1;
				break;
			}

			case 'link-slow': {
				store!.slowdownFactor = isOn ? factor : 1;
				break;
			}

			case 'store-full': {
				store!.isFull = isOn;
				break;
			}

			case 'store-dies': {
				store!.isDown = isOn;
				break;
			}

			case 'data-centre-cut': {
				this.#isolatedDataCentre = isOn ? target : '';
				break;
			}

			case 'reports-late': {
				this.#reportLagMilliseconds = isOn ? factor : this.#plan.workload.loadReport.lagMilliseconds;
				break;
			}
		}
	}
}

function viewOf(engine: FakeEngine, load: LoadReport, receivedAt: number): EndpointView {
	const {name, dataCentre, service} = engine;
	return {
		name, address: name, dataCentre, service, model: service, weightVersion: 'v1', state: 'live', load, heardAt: receivedAt,
	};
}
