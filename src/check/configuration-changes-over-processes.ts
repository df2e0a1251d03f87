/**
 * Checks over real gateway processes that no request is lost beside frequent changes of the configuration: one that was read as a
 * whole ends with a complete answer, a refusal or a failure, or at its timeout. Disturbances may be added, several at a time.
 */
import {randomBytes} from 'node:crypto';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {type JsonValue} from '../shared/types.js';
import {
	ChangingConfiguration, type ChangingRoute, changingRoutes, engineService, plainServices,
} from './changing-configuration.js';
import {
	answerTo, bodyOf, ChangingEndpoints, crashingBlock, type DescribedRequest, framings,
} from './changing-endpoints.js';
import {judgeRequests, type ChangesReportCounts, type EndedRequest} from './changes-report.js';
import {Choices} from './choices.js';
import {type Disturbance, DeploymentDisturbances} from './deployment-disturbances.js';
import {DeploymentEndpoint} from './deployment-endpoint.js';
import {
	deploymentWireNames as names, GatewayDeployment, type GatewayInstance, host, instanceHeader,
} from './gateway-deployment.js';
import {KeptCaller} from './kept-caller.js';
import {linkStateVariable, relaysVariable} from './redirect-endpoint-dials.js';

export type ConfigurationChangesOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
	changeMilliseconds: number;
	keptCallers: number;
	newConnectionsPerSecond: number;
	disturbances: readonly Disturbance[];
};

export type ConfigurationChangesReport = Omit<ConfigurationChangesOptions, 'network'> & ChangesReportCounts & {
	versions: number;
	/** Log lines of requests whose connection an instance closed, by reason. */
	closedByInstance: Record<string, number>;
	/** Log lines of kind `fault`. */
	faults: string[];
	/** Processes that ended without a signal of the check. */
	ownEnds: number;
};

const relayedInstance = 'centre-2-1';
const dataCentres = 2;
const instancesPerDataCentre = 2;
const endpointsOfService = 4;
const slots = 48;
const model = 'model-1';
const engine = {
	slots, kv_capacity_tokens: 400_000, kv_token_bytes: 1000, link_mbps: 1000, models: [{name: model}],
};
const deadlineMilliseconds = 8000;
const giveUpMilliseconds = deadlineMilliseconds + 1500;
const events = [1, 50] as const;
/** Between two pieces of a body. */
const pauseMilliseconds = [50, 1500] as const;
/** Longer than most idle timeouts. */
const answerPauseMilliseconds = [600, 1900] as const;
const paddingBytes = [0, 1500] as const;
/** Of the idle timeout, after which callers still use their connections. */
const reuseShare = 0.8;

/** Runs the check. */
export async function runRequestsBesideChanges(options: ConfigurationChangesOptions): Promise<ConfigurationChangesReport> {
	const run = new ConfigurationChangesRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class ConfigurationChangesRun {
	readonly #options: ConfigurationChangesOptions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #configuration: ChangingConfiguration;
	readonly #script: ChangingEndpoints;
	readonly #ended: EndedRequest[] = [];
	readonly #endpoints: DeploymentEndpoint[];
	readonly #disturbances: DeploymentDisturbances;
	#endsAt = 0;
	#versions = 0;
	#numbers = 0;

	constructor(options: ConfigurationChangesOptions) {
		this.#options = options;
		this.#choices = this.#choicesFor('callers');
		this.#deployment = new GatewayDeployment({
			network: options.network,
			dataCentres,
			instancesPerDataCentre,
			routes: [],
			services: [...plainServices.map(name => ({name})), {name: engineService, engine}],
			environmentOf: instance => options.disturbances.includes('relayed') && instance === relayedInstance ? this.#withoutEndpoints() : {},
		});
		this.#configuration = new ChangingConfiguration(this.#deployment, this.#choicesFor('configuration'));
		this.#script = new ChangingEndpoints(this.#choicesFor('endpoints'));
		this.#endpoints = [...plainServices, engineService].flatMap((service, group) => Array.from({length: endpointsOfService}, (_, index) => {
			const dataCentreNumber = (index % dataCentres) + 1;
			return new DeploymentEndpoint(this.#deployment, {
				dataCentre: this.#deployment.dataCentres[dataCentreNumber - 1]!,
				address: this.#deployment.endpointAddress(dataCentreNumber, (group * endpointsOfService) + index + 1),
				service,
				slots,
				...(service === engineService ? {model} : {}),
			}, this.#script);
		}));
		this.#disturbances = new DeploymentDisturbances({
			names: options.disturbances, deployment: this.#deployment, endpoints: this.#endpoints, choicesFor: name => this.#choicesFor(name),
		});
	}

	async start(): Promise<void> {
		await Promise.all(this.#endpoints.map(async endpoint => endpoint.start()));
		await this.#deployment.start();
		this.#change();
		await delay(1000);
	}

	async play(): Promise<ConfigurationChangesReport> {
		const {network: _, ...options} = this.#options;
		this.#endsAt = performance.now() + options.milliseconds;
		const {length: usual} = this.#deployment.instances;
		await Promise.all([
			this.#repeat(() => options.changeMilliseconds, async () => {
				this.#change();
			}),
			...Array.from({length: options.keptCallers}, async (_unused, index) => this.#callAgainAndAgain(this.#deployment.instances[index % usual]!)),
			this.#sendOnNewConnections(),
			this.#disturbances.runUntil(this.#endsAt),
		]);
		const lines = this.#deployment.lines();
		const closes = lines.filter(({closedBy}) => closedBy === 'instance').map(({closeReason}) => JSON.stringify(closeReason));
		return {
			...options,
			...judgeRequests(this.#ended, lines),
			versions: this.#versions,
			closedByInstance: Object.fromEntries([...new Set(closes)].map(reason => [reason, closes.filter(other => other === reason).length])),
			faults: [...new Set(lines.filter(({kind}) => kind === 'fault').map(line => JSON.stringify(line)))].slice(0, 5),
			ownEnds: this.#deployment.instances.filter(({process: {child}}) => child.exitCode !== null || child.signalCode !== null).length,
		};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	#choicesFor(purpose: string): Choices {
		return Choices.fromSeed(hashOf(`configuration changes ${this.#options.seed} ${purpose}`));
	}

	/** The environment of an instance that reaches no endpoint. */
	#withoutEndpoints(): Record<string, string> {
		const folder = mkdtempSync(path.join(tmpdir(), 'savorygauge-changes-'));
		const relaysPath = path.join(folder, 'relays.json');
		const statePath = path.join(folder, 'state');
		writeFileSync(relaysPath, JSON.stringify(Object.fromEntries(this.#endpoints.map(({address}) => [address, address]))));
		writeFileSync(statePath, 'refuse');
		return {
			[relaysVariable]: relaysPath, [linkStateVariable]: statePath, NODE_OPTIONS: `--import ${new URL('redirect-endpoint-dials.js', import.meta.url).href}`,
		};
	}

	#change(): void {
		this.#versions++;
		this.#configuration.change(performance.now());
	}

	/** A caller that keeps its connection to one instance, and leaves it idle between requests. */
	async #callAgainAndAgain(instance: GatewayInstance): Promise<void> {
		const caller = new KeptCaller();
		while (!this.#isOver) {
			await this.#call(caller, instance);
			const pause = this.#choices.between(0, 1200);
			const longest = reuseShare * this.#configuration.shortestIdleTimeout(performance.now());
			await delay(Math.min(pause, longest));
		}

		caller.close();
	}

	async #sendOnNewConnections(): Promise<void> {
		const sent: Array<Promise<void>> = [];
		const perSecond = this.#options.newConnectionsPerSecond * (this.#disturbances.has('one-instance') ? 3 : 1);
		await this.#repeat(() => 1000 / perSecond, async () => {
			const {instances} = this.#deployment;
			const instance = this.#disturbances.has('one-instance') && this.#choices.chance(90) ? instances[0]! : this.#choices.oneOf(instances);
			if (this.#disturbances.isInRotation(instance, performance.now())) {
				sent.push(this.#callOnce(instance));
			}
		});
		await Promise.all(sent);
	}

	async #callOnce(instance: GatewayInstance): Promise<void> {
		const caller = new KeptCaller();
		await this.#call(caller, instance);
		caller.close();
	}

	async #call(caller: KeptCaller, instance: GatewayInstance): Promise<void> {
		const route = this.#choices.oneOf(changingRoutes);
		this.#numbers++;
		const length = this.#choices.between(...events);
		const request: DescribedRequest = {
			number: this.#numbers,
			events: length,
			framing: this.#choices.oneOf(framings),
			isStream: !['lookup', 'order'].includes(route),
			pauseMilliseconds: this.#choices.chance(30) ? this.#choices.between(...answerPauseMilliseconds) : 0,
			pausesAfter: this.#choices.chance(50) ? 0 : this.#choices.between(1, length),
		};
		const body = bodyOf(request, this.#choices.between(...paddingBytes));
		const cut = this.#choices.chance(25) ? this.#choices.between(1, body.length - 1) : body.length;
		const attemptId = randomBytes(8).toString('hex');
		const startedAt = performance.now();
		const isCrashing = route === 'prompt' && this.#disturbances.has('crashing-block') && this.#choices.chance(15);
		const {process: startedProcess} = instance;
		const received = await caller.send({
			address: instance.address,
			path: `/${route}/`,
			headers: {
				host,
				[names.attemptId]: attemptId,
				[names.deadline]: String(deadlineMilliseconds),
				[names.workspaceKey]: this.#configuration.anyKey(),
				[instanceHeader]: instance.name,
				...(['prompt', 'draft'].includes(route) ? this.#promptHeaders(isCrashing) : {}),
			},
			pieces: [body.slice(0, cut), body.slice(cut)].filter(piece => piece !== ''),
			pauseMilliseconds: this.#choices.between(...pauseMilliseconds),
			statesLength: this.#choices.chance(50),
			halfCloses: this.#disturbances.has('half-closes') && this.#choices.chance(20),
			giveUpMilliseconds,
		});
		this.#ended.push({
			route,
			instance: instance.name,
			attemptId,
			framing: request.framing,
			startedAt,
			received,
			expectedBody: answerTo(request),
			endpoint: this.#script.recordOf(attemptId),
			shortestTimeoutMilliseconds: Math.min(deadlineMilliseconds, this.#configuration.shortestTimeout(route, startedAt)),
			isInstanceSlow: this.#disturbances.isSlow(instance),
			wasInstanceEnded: this.#disturbances.wasEnded(startedProcess, received.endedAt),
		});
	}

	#promptHeaders(isCrashing: boolean): Record<string, string> {
		const shared = `a${this.#choices.between(1, 8)}:400`;
		const own = `b${this.#numbers}:60`;
		return {
			[names.model]: model,
			[names.tokenCount]: `${isCrashing ? 560 : 460},${events[1]}`,
			[names.promptParts]: [shared, ...(isCrashing ? [`${crashingBlock}:100`] : []), own].join(','),
		};
	}

	async #repeat(pauseOf: () => number, step: () => Promise<void>): Promise<void> {
		while (!this.#isOver) {
			await delay(pauseOf());
			await step();
		}
	}

	get #isOver(): boolean {
		return performance.now() >= this.#endsAt;
	}
}

/** Returns the counts of a run that must be 0 and are not. */
export function violationsOf({cut, unanswered, late, wrongAnswers, wronglyRefused, ownEnds, faults}: ConfigurationChangesReport): Record<string, JsonValue> {
	const mustBeZero = {
		cut, unanswered, late, wrongAnswers, wronglyRefused, ownEnds, faults: faults.length,
	};
	return Object.fromEntries(Object.entries(mustBeZero).filter(([, count]) => count > 0));
}
