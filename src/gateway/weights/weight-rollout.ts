/**
 * Brings engines to the weights that operators name. Every instance runs one rollout; a lease decides which instance sends the
 * orders. The lease is acquired only while the weights of an engine are outdated, so that no calls to the store are made
 * otherwise.
 */
import {planRollout, usualLoadCount, type LoadingEngine} from '../../decision/weights/plan-rollout.js';
import {type ClockedTable} from '../../ports/clocked-table.js';
import {type EngineControl, type OrderAnswer} from '../../ports/engine-control.js';
import {type TableService} from '../../ports/table-service.js';
import {hashOf} from '../../shared/hash-of.js';
import {InterruptibleSleep} from '../../shared/interruptible-sleep.js';
import {type Child} from '../../supervisor/supervisor.js';
import {LeaderElection} from '../leadership/leader-election.js';
import {weightsLeaseTable, weightsLeaseKey} from '../leadership/weights-lease.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {configuredEndpoints} from '../endpoints/configured-endpoints.js';
import {type GatewayContext} from '../gateway-context.js';
import {type WeightTarget, type WeightTargets} from './weight-targets.js';

/** Interval between checks of the known state while the weights of an engine are outdated. */
const checkIntervalMilliseconds = 100;
/** Minimum time over which instances that receive new weights at the same time spread their attempts to acquire the lease. */
const minSpreadMilliseconds = 250;
/**
 * The spread grows by this much with each instance: most observe the orders of the first one before it is their turn to call
 * the store.
 */
const spreadPerInstanceMilliseconds = 10;
/**
 * How long a grant lasts. A holder that is paused right after a renewal keeps all others out for this time plus the time of a
 * lease, out of the time in which engines must have their weights; each renewal costs two calls to the store.
 */
const grantMilliseconds = 600;
/** A grant with less than this left is renewed before the next order. */
const renewBeforeMilliseconds = 300;
/** An order is sent only with this much of the grant left, since the check and the sending are not one step. */
const orderMarginMilliseconds = 250;
/** Interval between two reads of a loading engine's report. */
const reportIntervalMilliseconds = 150;
/** An engine that is not busy this long after an order has not received it. */
const lostOrderMilliseconds = 750;
/**
 * All engines are to be done this long before the end of the switchover time, so that prompts that wait at an engine begin in
 * time.
 */
const rolloutMarginMilliseconds = 1000;
/** Estimate of a load before one was observed: running requests end, and the weights are read. */
const initialLoadMilliseconds = 1000;
/** Weight of the newest load in the moving average. */
const newestLoadShare = 0.5;

type WeightRolloutContext = Pick<GatewayContext, 'clock' | 'configuration' | 'endpoints' | 'loadingEngines' | 'log' | 'metrics'>;

/** Settings and dependencies of the rollout. */
export type WeightRolloutDependencies = {
	instance: string;
	leaseMilliseconds: number;
	/** Time from the naming of weights until all engines must have them. */
	switchoverMilliseconds: number;
	store: TableService & ClockedTable;
	control: EngineControl;
	targets: WeightTargets;
	/**
	 * Whether this instance is the coordinator. It tries last: a fault of the holder of this lease would otherwise cost all
	 * instances their coordinator too.
	 */
	isCoordinator: () => boolean;
	/** How many instances there are, as far as known. */
	instances: () => number;
};

export class WeightRollout implements Child {
	readonly name = 'weight-coordinator';
	readonly #context: WeightRolloutContext;
	readonly #dependencies: WeightRolloutDependencies;
	readonly #election: LeaderElection;
	readonly #loading = new Map<string, LoadingEngine & {reportAt: number}>();
	#loadMilliseconds = initialLoadMilliseconds;
	/** Ended by new targets, and by engines whose weights may be outdated. */
	readonly #pause: InterruptibleSleep;
	#isIdle = false;

	constructor(context: WeightRolloutContext, dependencies: WeightRolloutDependencies) {
		this.#context = context;
		this.#dependencies = dependencies;
		const {instance, leaseMilliseconds, store, targets} = dependencies;
		this.#pause = new InterruptibleSleep(context.clock);
		for (const signal of [targets.changes, context.endpoints.weightChanges]) {
			signal.subscribe(() => {
				if (this.#isIdle) {
					this.#pause.interrupt();
				}
			});
		}

		this.#election = new LeaderElection({
			table: weightsLeaseTable, lease: weightsLeaseKey, instance, address: '', leaseMilliseconds, grantMilliseconds,
		}, {store, clock: context.clock, log: context.log});
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const isBusy = await this.step();
			await (isBusy ? this.#pause.sleep(checkIntervalMilliseconds, signal) : this.#pause.wait(signal));
		}
	}

	/** Performs the next step if an engine has outdated weights; returns false if none has. */
	async step(): Promise<boolean> {
		const now = this.#now();
		const targets = this.#dependencies.targets.all().filter(target => this.#outdatedEngines(target).length > 0);
		this.#isIdle = targets.length === 0;
		if (this.#isIdle) {
			this.#loading.clear();
			return false;
		}

		if (this.#election.grant === undefined && !this.#mayAcquire(targets, now)) {
			return true;
		}

		if (this.#election.remainingMilliseconds() < Math.max(renewBeforeMilliseconds, this.#election.renewBeforeMilliseconds)) {
			await this.#election.acquireOrRenew([...this.#loading.keys()]);
		}

		if (this.#election.remainingMilliseconds() <= 0) {
			this.#dropLease();
			return true;
		}

		for (const target of targets) {
			await this.#advance(target);
		}

		return true;
	}

	/** Whether to try to acquire the lease: not while another holder is observed. */
	#mayAcquire(targets: readonly WeightTarget[], now: number): boolean {
		const {instance, isCoordinator, instances} = this.#dependencies;
		const observedAt = Math.max(...targets.map(target => target.observedAt.steady));
		const spread = Math.max(minSpreadMilliseconds, spreadPerInstanceMilliseconds * instances());
		const share = isCoordinator() ? 1 : hashOf(`${instance}|${observedAt}`) / (2 ** 32);
		return now >= observedAt + (spread * share) && !this.#context.loadingEngines.isHolderAlive();
	}

	async #advance(target: WeightTarget): Promise<void> {
		await this.#readReports();
		const {switchoverMilliseconds} = this.#dependencies;
		// Weights of unknown age are scheduled as if named when they were observed, since all engines must not load at once.
		const dueAt = (target.namedNotBefore ?? target.observedAt).steady + switchoverMilliseconds - rolloutMarginMilliseconds;
		const next = planRollout(this.#enginesOf(target), {...target, dueAt, loadMilliseconds: this.#loadMilliseconds}, [...this.#loading.values()], this.#now());
		if (next.length === 0) {
			return;
		}

		// The row names the engines that are about to load, so that others avoid them; the same write renews the grant.
		await this.#election.acquireOrRenew([...this.#loading.keys(), ...next.map(({name}) => name)]);
		await Promise.all(next.map(async engine => this.#order(engine, target)));
	}

	async #order(engine: EndpointRecord, target: WeightTarget): Promise<void> {
		const {control, instance} = this.#dependencies;
		const report = await control.report(engine);
		if (report.isLeft()) {
			this.#context.log.record('order-failed', {engine: engine.name, reason: report.extract()});
			return;
		}

		const {isBusy, ordersTaken, weightVersions} = report.unsafeCoerce();
		this.#noteVersions(engine, weightVersions);
		if ((weightVersions.get(target.model) ?? 0) >= target.version) {
			return;
		}

		if (isBusy) {
			// It executes an order of the previous holder.
			this.#noteLoading(engine);
			return;
		}

		const remainingMilliseconds = this.#election.remainingMilliseconds();
		const {grant} = this.#election;
		if (grant === undefined || remainingMilliseconds < orderMarginMilliseconds) {
			return;
		}

		const {fencingNumber} = grant.row;
		this.#noteLoading(engine);
		const answer = await control.orderWeights(engine, {
			model: target.model, version: target.version, inFlightPolicy: 'finish', holder: instance, fencingNumber, ordersTaken,
		});
		this.#recordOrder(engine, target, {
			answer, fencingNumber, ordersTaken, left: remainingMilliseconds,
		});
	}

	#noteLoading({name}: EndpointRecord): void {
		const now = this.#now();
		this.#loading.set(name, {name, since: now, reportAt: now + reportIntervalMilliseconds});
	}

	#recordOrder(engine: EndpointRecord, target: WeightTarget, given: {answer: OrderAnswer; fencingNumber: number; ordersTaken: number; left: number}): void {
		const {log, metrics, endpoints} = this.#context;
		metrics.orders.inc({outcome: given.answer});
		log.record('order-given', {
			engine: engine.name, model: target.model, version: target.version, ...given, left: Math.round(given.left),
		});
		if (given.answer === 'holds-already') {
			endpoints.noteWeightVersion(engine.name, target.model, target.version);
		}

		if (given.answer === 'holds-already' || given.answer === 'refused') {
			this.#loading.delete(engine.name);
		}
	}

	/** Reads from the reports of loading engines which of them are done, or never received the order. */
	async #readReports(): Promise<void> {
		const now = this.#now();
		const due = [...this.#loading.values()].filter(({reportAt}) => reportAt <= now);
		await Promise.all(due.map(async loading => {
			loading.reportAt = now + reportIntervalMilliseconds;
			const engine = this.#context.endpoints.byName(loading.name);
			if (engine === undefined) {
				this.#loading.delete(loading.name);
				return;
			}

			const report = await this.#dependencies.control.report(engine);
			report.ifRight(({isBusy, weightVersions}) => {
				this.#noteVersions(engine, weightVersions);
				if (!isBusy && now - loading.since > lostOrderMilliseconds) {
					this.#loading.delete(loading.name);
				}
			});
		}));
	}

	#noteVersions(engine: EndpointRecord, weightVersions: ReadonlyMap<string, number>): void {
		for (const [model, version] of weightVersions) {
			this.#context.endpoints.noteWeightVersion(engine.name, model, version);
		}

		const loading = this.#loading.get(engine.name);
		const isDone = this.#dependencies.targets.all().every(target => (weightVersions.get(target.model) ?? target.version) >= target.version);
		if (loading !== undefined && isDone) {
			this.#updateLoadEstimate(this.#now() - loading.since);
			this.#loading.delete(engine.name);
		}
	}

	/**
	 * Loads slow each other down where more than the usual number run at a time. Estimated from those, the time of a load would
	 * call for still more at a time, until no engine is left to serve.
	 */
	#updateLoadEstimate(milliseconds: number): void {
		if (this.#loading.size <= usualLoadCount(this.#listed().filter(({weightVersions}) => weightVersions.size > 0).length)) {
			this.#loadMilliseconds = (newestLoadShare * milliseconds) + ((1 - newestLoadShare) * this.#loadMilliseconds);
		}
	}

	#dropLease(): void {
		this.#election.discardGrant('it was not renewed in time');
		this.#loading.clear();
	}

	#enginesOf(target: WeightTarget): EndpointRecord[] {
		return this.#listed().filter(({state, weightVersions}) => state === 'ready' && weightVersions.has(target.model));
	}

	#listed(): readonly EndpointRecord[] {
		const {configuration, endpoints} = this.#context;
		return configuredEndpoints(configuration.current, endpoints.all());
	}

	#outdatedEngines(target: WeightTarget): EndpointRecord[] {
		return this.#enginesOf(target).filter(({weightVersions}) => weightVersions.get(target.model)! < target.version);
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
