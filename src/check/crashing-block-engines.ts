/** The engines of the check of crashing prompt blocks: they answer prompts, and end under those that hold a crashing block. */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Choices} from './choices.js';
import {type BlockConditions, type CrashMoment} from './crashing-block-conditions.js';
import {type BlockArrival, type BlockCrash} from './crashing-block-judgement.js';
import {promptPlanOf} from './crashing-block-prompts.js';
import {promptModel} from './crashing-block-traffic.js';
import {type Arrival, DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {deploymentWireNames as names, type GatewayDeployment, type GatewayInstance} from './gateway-deployment.js';

export const engineSlots = 16;
const enginesPerDataCentre = 4;
const firstByteMilliseconds = [40, 250] as const;
const eventMilliseconds = 35;
/** Share of the crashes that come after the head of the answer; the others come before any byte. */
const afterHeadPercent = 80;
const afterHeadMilliseconds = [5, 60] as const;
/** Whole events of an answer before its engine ends. */
const eventsBeforeEnd: Readonly<Partial<Record<CrashMoment, number>>> = {'after-one-event': 1, 'after-three-events': 3, 'after-ten-events': 10};
const restartMilliseconds = [1200, 3200] as const;

export type CrashingBlockEnginesDependencies = {
	deployment: GatewayDeployment;
	service: string;
	choices: Choices;
	conditions: BlockConditions;
	isInTouch(instance: GatewayInstance): boolean;
};

export class CrashingBlockEngines implements EndpointScript {
	readonly arrivals: BlockArrival[] = [];
	readonly crashes: BlockCrash[] = [];
	/** The attempts on which an engine has begun to work. */
	readonly ranAttempts = new Set<string>();
	/** Engines that ended at random. */
	randomEnds = 0;
	readonly #dependencies: CrashingBlockEnginesDependencies;
	readonly #engines: readonly DeploymentEndpoint[];
	#trafficStartedAt = Number.POSITIVE_INFINITY;

	constructor(dependencies: CrashingBlockEnginesDependencies) {
		this.#dependencies = dependencies;
		const {deployment, service} = dependencies;
		this.#engines = deployment.dataCentres.flatMap((dataCentre, index) => Array.from({length: enginesPerDataCentre}, (_, number) => new DeploymentEndpoint(deployment, {
			dataCentre, address: deployment.endpointAddress(index + 1, number + 1), service, slots: engineSlots, model: promptModel,
		}, this)));
	}

	get count(): number {
		return this.#engines.length;
	}

	async start(): Promise<void> {
		await Promise.all(this.#engines.map(async engine => engine.start()));
	}

	/** The time of `performance.now()` from which the times of the conditions count. */
	noteTrafficStart(at: number): void {
		this.#trafficStartedAt = at;
	}

	/** Ends some engines at the same moment, whatever they run. */
	async endAtRandom(count: number): Promise<void> {
		const running = this.#engines.filter(({isUp}) => isUp);
		const first = this.#dependencies.choices.between(0, running.length - 1);
		const ending = [...running.slice(first), ...running.slice(0, first)].slice(0, count);
		this.randomEnds += ending.length;
		await Promise.all(ending.map(async engine => this.#end(engine)));
	}

	stop(): void {
		for (const engine of this.#engines) {
			engine.close();
		}
	}

	arrived({at, endpoint, instance, body}: Arrival): void {
		const {deployment, isInTouch} = this.#dependencies;
		const {number, blocks} = promptPlanOf(body);
		const block = this.#crashingBlockOf(blocks);
		const origin = deployment.instances.find(({name}) => name === instance);
		if (block !== undefined) {
			this.arrivals.push({
				at, number, block, endpoint, instance, isInTouch: origin !== undefined && isInTouch(origin),
			});
		}
	}

	headers(): Record<string, string> {
		return {[names.weightVersion]: '1'};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		const {choices} = this.#dependencies;
		const {number, events, blocks} = promptPlanOf(arrival.body);
		this.ranAttempts.add(String(response.req.headers[names.attemptId]));
		await delay(choices.between(...firstByteMilliseconds));
		const block = this.#crashingBlockOf(blocks);
		if (block === undefined) {
			await answerWithEvents(endpoint, arrival, response, events);
			return;
		}

		await this.#answerUntilEnd(endpoint, arrival, response);

		if (!response.destroyed && endpoint.isUp) {
			this.crashes.push({
				at: performance.now(), number, block, endpoint: endpoint.name, instance: arrival.instance,
			});
			await this.#end(endpoint);
		}
	}

	/** Writes what callers get of an answer under which the engine ends. */
	async #answerUntilEnd(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		const {choices, conditions: {crashMoment}} = this.#dependencies;
		const hasHead = crashMoment === 'mixed' ? choices.chance(afterHeadPercent) : crashMoment !== 'before-head';
		if (!hasHead || response.destroyed) {
			return;
		}

		endpoint.begin(response, arrival);
		const first = firstEventOf(response);
		if (crashMoment === 'within-first-event') {
			response.write(`id: ${first}\nda`);
		}

		await writeEvents(response, first, first + (eventsBeforeEnd[crashMoment] ?? 0) - 1);
		await delay(choices.between(...afterHeadMilliseconds));
	}

	/** The block of a prompt that ends engines at present. */
	#crashingBlockOf(blocks: readonly string[]): string | undefined {
		const elapsed = performance.now() - this.#trafficStartedAt;
		return this.#dependencies.conditions.crashingBlocks.find(({id, crashesAt}) => elapsed >= crashesAt && blocks.includes(id))?.id;
	}

	/** Ends an engine, which comes back later. */
	async #end(engine: DeploymentEndpoint): Promise<void> {
		const {choices, conditions} = this.#dependencies;
		await engine.crash(choices.between(...restartMilliseconds), {keepsName: conditions.keepNames});
	}
}

async function answerWithEvents(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse, events: number): Promise<void> {
	if (response.destroyed) {
		return;
	}

	endpoint.begin(response, arrival);
	await writeEvents(response, firstEventOf(response), events);
	response.end();
}

/** The number of the event at which the answer to a resumed or a new request begins. */
function firstEventOf({req}: ServerResponse): number {
	return 1 + Number(req.headers[names.lastEventId] ?? 0);
}

async function writeEvents(response: ServerResponse, first: number, last: number): Promise<void> {
	for (let id = first; id <= last && !response.destroyed; id++) {
		response.write(`id: ${id}\ndata: piece ${id}\n\n`);
		await delay(eventMilliseconds);
	}
}
