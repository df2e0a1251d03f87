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
import {type Child} from '../../supervisor/supervisor.js';
import {DutySeat} from '../duty/duty-seat.js';
import {dutyTable, weightsDuty} from '../duty/weights-duty.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type GatewayContext} from '../gateway-context.js';
import {type WeightGoal, type WeightGoals} from './weight-goals.js';

/** Interval between checks of the known state; they make no calls. */
const tickMilliseconds = 100;
/** The same while all engines have the weights that were named. */
const idleTickMilliseconds = 400;
/** Minimum time over which instances that receive new weights at the same time spread their attempts to acquire the lease. */
const shortestSpreadMilliseconds = 250;
/**
 * The spread grows by this much with each instance: most observe the orders of the first one before it is their turn to call
 * the store.
 */
const spreadPerInstanceMilliseconds = 10;
/**
 * How long a grant lasts. A holder that is paused right after a renewal keeps all others out for this time and a lease, out of
 * the time in which engines must have their weights; each renewal costs two calls to the store.
 */
const actingMilliseconds = 600;
/** A grant with less than this left is renewed before the next order. */
const renewMilliseconds = 300;
/** An order is sent only with this much of the grant left, since the check and the sending are not one step. */
const orderMarginMilliseconds = 250;
/** Interval between two reads of a loading engine's report. */
const reportPauseMilliseconds = 150;
/** An engine that is not busy this long after an order has not received it. */
const tracelessMilliseconds = 750;
/**
 * All engines are to be done this long before the end of the switchover time, so that prompts that wait at an engine begin in
 * time.
 */
const rollMarginMilliseconds = 1000;
/** Estimate of a load before one was observed: running requests end, and the weights are read. */
const firstLoadMilliseconds = 1000;
/** Weight of the newest load in the moving average. */
const newestLoadShare = 0.5;

type CoordinatorContext = Pick<GatewayContext, 'clock' | 'endpoints' | 'loadingEngines' | 'log' | 'metrics'>;

/** Settings and dependencies of the rollout. */
export type CoordinatorParts = {
	instance: string;
	leaseMilliseconds: number;
	/** Time from the naming of weights until all engines must have them. */
	boundMilliseconds: number;
	store: TableService & ClockedTable;
	control: EngineControl;
	goals: WeightGoals;
	/**
	 * Whether this instance is the coordinator. It tries last: a fault of the holder of this lease would otherwise cost all
	 * instances their coordinator too.
	 */
	isHub: () => boolean;
	/** How many instances there are, as far as known. */
	instances: () => number;
};

export class WeightCoordinator implements Child {
	readonly name = 'weight-coordinator';
	readonly #context: CoordinatorContext;
	readonly #parts: CoordinatorParts;
	readonly #seat: DutySeat;
	readonly #loading = new Map<string, LoadingEngine & {reportAt: number}>();
	#loadMilliseconds = firstLoadMilliseconds;

	constructor(context: CoordinatorContext, parts: CoordinatorParts) {
		this.#context = context;
		this.#parts = parts;
		const {instance, leaseMilliseconds, store} = parts;
		this.#seat = new DutySeat({
			table: dutyTable, duty: weightsDuty, instance, address: '', leaseMilliseconds, actingMilliseconds,
		}, {store, clock: context.clock, log: context.log});
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const isBusy = await this.step();
			await this.#context.clock.sleep(isBusy ? tickMilliseconds : idleTickMilliseconds, signal);
		}
	}

	/** Performs the next step if an engine has outdated weights; returns false if none has. */
	async step(): Promise<boolean> {
		const now = this.#now();
		const goals = this.#parts.goals.all().filter(goal => this.#enginesBehind(goal).length > 0);
		if (goals.length === 0) {
			this.#loading.clear();
			return false;
		}

		if (this.#seat.grant === undefined && !this.#maySeek(goals, now)) {
			return true;
		}

		if (this.#seat.left() < Math.max(renewMilliseconds, this.#seat.renewalMilliseconds)) {
			await this.#seat.seek([...this.#loading.keys()]);
		}

		if (this.#seat.left() <= 0) {
			this.#loseDuty();
			return true;
		}

		for (const goal of goals) {
			await this.#pursue(goal);
		}

		return true;
	}

	/** Whether to try to acquire the lease: not while another holder is observed. */
	#maySeek(goals: readonly WeightGoal[], now: number): boolean {
		const {instance, isHub, instances} = this.#parts;
		const heardAt = Math.max(...goals.map(goal => goal.heardAt.steady));
		const spread = Math.max(shortestSpreadMilliseconds, spreadPerInstanceMilliseconds * instances());
		const share = isHub() ? 1 : hashOf(`${instance}|${heardAt}`) / (2 ** 32);
		return now >= heardAt + (spread * share) && !this.#context.loadingEngines.isHolderAlive();
	}

	async #pursue(goal: WeightGoal): Promise<void> {
		await this.#readReports();
		const {boundMilliseconds} = this.#parts;
		// Weights of unknown age are scheduled as if named when they were observed, since all engines must not load at once.
		const dueAt = (goal.namedSince ?? goal.heardAt).steady + boundMilliseconds - rollMarginMilliseconds;
		const next = planRollout(this.#enginesOf(goal), {...goal, dueAt, loadMilliseconds: this.#loadMilliseconds}, [...this.#loading.values()], this.#now());
		if (next.length === 0) {
			return;
		}

		// The row names the engines that are about to load, so that others avoid them; the same write renews the grant.
		await this.#seat.seek([...this.#loading.keys(), ...next.map(({name}) => name)]);
		await Promise.all(next.map(async engine => this.#order(engine, goal)));
	}

	async #order(engine: EndpointRecord, goal: WeightGoal): Promise<void> {
		const {control, instance} = this.#parts;
		const report = await control.report(engine);
		if (report.isLeft()) {
			this.#context.log.record('order-failed', {engine: engine.name, reason: report.extract()});
			return;
		}

		const {isBusy, ordersTaken, weightVersions} = report.unsafeCoerce();
		this.#noteVersions(engine, weightVersions);
		if ((weightVersions.get(goal.model) ?? 0) >= goal.version) {
			return;
		}

		if (isBusy) {
			// It executes an order of the holder before.
			this.#noteLoading(engine);
			return;
		}

		const left = this.#seat.left();
		const {grant} = this.#seat;
		if (grant === undefined || left < orderMarginMilliseconds) {
			return;
		}

		const {fencingNumber} = grant.row;
		this.#noteLoading(engine);
		const answer = await control.orderWeights(engine, {
			model: goal.model, version: goal.version, inFlightPolicy: 'finish', holder: instance, fencingNumber, ordersTaken,
		});
		this.#ordered(engine, goal, {
			answer, fencingNumber, ordersTaken, left,
		});
	}

	#noteLoading({name}: EndpointRecord): void {
		const now = this.#now();
		this.#loading.set(name, {name, since: now, reportAt: now + reportPauseMilliseconds});
	}

	#ordered(engine: EndpointRecord, goal: WeightGoal, given: {answer: OrderAnswer; fencingNumber: number; ordersTaken: number; left: number}): void {
		const {log, metrics, endpoints} = this.#context;
		metrics.orders.inc({outcome: given.answer});
		log.record('order-given', {
			engine: engine.name, model: goal.model, version: goal.version, ...given, left: Math.round(given.left),
		});
		if (given.answer === 'holds-already') {
			endpoints.noteWeightVersion(engine.name, goal.model, goal.version);
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
			loading.reportAt = now + reportPauseMilliseconds;
			const engine = this.#context.endpoints.byName(loading.name);
			if (engine === undefined) {
				this.#loading.delete(loading.name);
				return;
			}

			const report = await this.#parts.control.report(engine);
			report.ifRight(({isBusy, weightVersions}) => {
				this.#noteVersions(engine, weightVersions);
				if (!isBusy && now - loading.since > tracelessMilliseconds) {
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
		const isDone = this.#parts.goals.all().every(goal => (weightVersions.get(goal.model) ?? goal.version) >= goal.version);
		if (loading !== undefined && isDone) {
			this.#learnLoad(this.#now() - loading.since);
			this.#loading.delete(engine.name);
		}
	}

	/**
	 * Loads slow each other down where more than the usual number run at a time. Estimated from those, the time of a load would
	 * call for still more at a time, until no engine is left to serve.
	 */
	#learnLoad(milliseconds: number): void {
		if (this.#loading.size <= usualLoadCount(this.#context.endpoints.all().filter(({weightVersions}) => weightVersions.size > 0).length)) {
			this.#loadMilliseconds = (newestLoadShare * milliseconds) + ((1 - newestLoadShare) * this.#loadMilliseconds);
		}
	}

	#loseDuty(): void {
		this.#seat.lose('it was not renewed in time');
		this.#loading.clear();
	}

	#enginesOf(goal: WeightGoal): EndpointRecord[] {
		return this.#context.endpoints.all().filter(({state, weightVersions}) => state === 'ready' && weightVersions.has(goal.model));
	}

	#enginesBehind(goal: WeightGoal): EndpointRecord[] {
		return this.#enginesOf(goal).filter(({weightVersions}) => weightVersions.get(goal.model)! < goal.version);
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
