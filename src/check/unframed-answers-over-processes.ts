/**
 * Checks over real gateway processes that answers with neither a length nor chunks arrive: a whole one whole and marked as complete,
 * a broken one never marked as complete, and a broken stream that may be resumed goes on without a missing, doubled or torn event.
 */
import {randomBytes} from 'node:crypto';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {DeploymentEndpoint} from './deployment-endpoint.js';
import {
	deploymentWireNames as names, GatewayDeployment, type GatewayInstance, host, instanceHeader,
} from './gateway-deployment.js';
import {RawCaller, callerKinds} from './raw-caller.js';
import {linkStateVariable, relaysVariable} from './redirect-endpoint-dials.js';
import {AnswerJudge, type AnswerJudgement} from './unframed-answer-judge.js';
import {
	answerBody, answerEndings, plainPath, UnframedEndpoints, type AnswerEnding,
} from './unframed-endpoints.js';

/**
 * What is wrong beside the endpoints.
 *
 * - `store`: the store is away for all.
 * - `instances`: instances are killed one after the other, and are back at once.
 * - `relays`: one instance of each data centre reaches no endpoint itself.
 */
export const unframedDisturbances = ['none', 'store', 'instances', 'relays', 'relays-and-instances'] as const;
export type UnframedDisturbance = typeof unframedDisturbances[number];

export type UnframedAnswersOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
	requestsPerSecond: number;
	/** Share of the answers that their endpoint does not complete. */
	brokenPercent: number;
	disturbance: UnframedDisturbance;
};

export type UnframedAnswersReport = Omit<UnframedAnswersOptions, 'network'> & AnswerJudgement;

const model = 'model-1';
const slots = 16;
const dataCentres = 3;
const perDataCentre = 2;
const engine = {
	slots, kv_capacity_tokens: 200_000, kv_token_bytes: 1000, link_mbps: 1000, models: [{name: model}],
};
const route = {
	host, timeout_ms: 5000, target_latency_ms: 600, gap_aim_ms: 800,
};
const routes = [
	{
		...route, name: 'lookup', prefix: plainPath, kind: 'idempotent', max_attempts: 3, service: 'desk',
	},
	{
		...route, name: 'once', prefix: '/once/', kind: 'stream', max_attempts: 1, service: 'desk',
	},
	{
		...route, name: 'resumable', prefix: '/resumable/', kind: 'stream', resumable: true, max_attempts: 3, service: 'desk',
	},
	{
		...route, name: 'prompt', prefix: '/prompt/', kind: 'stream', resumable: true, max_attempts: 3, sticky: true, service: 'engines',
	},
];
const promptPath = '/prompt/';
const resumablePaths = ['/resumable/', promptPath];
const streamPaths = ['/once/', ...resumablePaths];
const deadlineMilliseconds = 5000;
const eventsOfAnswer = [3, 30] as const;
const betweenKillsMilliseconds = 1500;
const relaySettleMilliseconds = 1500;
/** Time within which a caller notices that a kept connection has ended with its instance. */
const noticedMilliseconds = 500;
/** Nothing listens here; instances that reach no endpoint are sent to it. */
const closedAddress = '127.0.0.1:1';

export async function runUnframedAnswers(options: UnframedAnswersOptions): Promise<UnframedAnswersReport> {
	const run = new UnframedAnswersRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

/** Returns the counts that must be 0 and are not. */
export function unframedFindings({
	wronglyComplete, lost, wrongBytes, repeated,
}: UnframedAnswersReport): Partial<AnswerJudgement> {
	const mustBeZero = {
		wronglyComplete, lost, wrongBytes, repeated,
	};
	return Object.fromEntries(Object.entries(mustBeZero).filter(([, count]) => count > 0));
}

class UnframedAnswersRun {
	readonly #options: UnframedAnswersOptions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #script: UnframedEndpoints;
	readonly #judge: AnswerJudge;
	readonly #caller = new RawCaller();
	#endpoints: DeploymentEndpoint[] = [];
	#sent = 0;

	constructor(options: UnframedAnswersOptions) {
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`unframed answers ${options.seed}`));
		this.#script = new UnframedEndpoints(Choices.fromSeed(hashOf(`unframed answers ${options.seed} endpoints`)));
		this.#judge = new AnswerJudge(this.#script, resumablePaths);
		const folder = mkdtempSync(path.join(tmpdir(), 'savorygauge-unframed-'));
		this.#deployment = new GatewayDeployment({
			network: options.network,
			dataCentres,
			instancesPerDataCentre: perDataCentre,
			routes,
			services: [{name: 'desk'}, {name: 'engines', engine}],
			environmentOf: instance => this.#isCutOff(instance) ? this.#cutOffEnvironment(folder) : {},
		});
	}

	async start(): Promise<void> {
		this.#endpoints = this.#deployment.dataCentres.flatMap((dataCentre, index) => this.#addresses(index).map((address, number) => new DeploymentEndpoint(this.#deployment, {
			dataCentre, address, slots, ...(number < perDataCentre ? {service: 'desk'} : {service: 'engines', model}),
		}, this.#script)));
		await Promise.all(this.#endpoints.map(async endpoint => endpoint.start()));
		await this.#deployment.start();
		await delay(this.#options.disturbance.startsWith('relays') ? relaySettleMilliseconds : 0);
	}

	async play(): Promise<UnframedAnswersReport> {
		const {network: _, ...options} = this.#options;
		const endsAt = performance.now() + options.milliseconds;
		const cutting = options.disturbance === 'store' ? this.#deployment.dataCentres.map(async name => this.#deployment.cutStore(name, options.milliseconds)) : [];
		await Promise.all([this.#sendUntil(endsAt), this.#killUntil(endsAt), ...cutting]);
		return {...options, ...this.#judge.judgement};
	}

	async stop(): Promise<void> {
		this.#caller.close();
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	async #sendUntil(endsAt: number): Promise<void> {
		const sent: Array<Promise<void>> = [];
		while (performance.now() < endsAt) {
			sent.push(this.#send());
			await delay(1000 / this.#options.requestsPerSecond);
		}

		await Promise.all(sent);
	}

	async #send(): Promise<void> {
		this.#sent++;
		const target = this.#choices.oneOf([plainPath, ...streamPaths]);
		const instance = this.#choices.oneOf(this.#deployment.instances);
		const kind = this.#choices.oneOf(callerKinds);
		const body = answerBody({number: this.#sent, events: this.#choices.between(...eventsOfAnswer), ending: this.#drawEnding(target)});
		const startedAt = performance.now();
		const answer = await this.#caller.send(kind, {
			address: instance.address, path: target, body, timeoutMilliseconds: deadlineMilliseconds, headers: this.#headers(target, instance),
		});
		const isInstanceKilled = instance.interruptions.some(at => at >= startedAt - noticedMilliseconds);
		this.#judge.judge({
			path: target, kind, body, answer, startedAt, isInstanceKilled,
		});
	}

	#drawEnding(target: string): AnswerEnding {
		if (!this.#choices.chance(this.#options.brokenPercent)) {
			return 'whole';
		}

		return this.#choices.oneOf(target === plainPath ? ['reset', 'crash'] as const : answerEndings.slice(1));
	}

	#headers(target: string, instance: GatewayInstance): Record<string, string> {
		return {
			host,
			[names.attemptId]: randomBytes(8).toString('hex'),
			[names.deadline]: String(deadlineMilliseconds),
			[instanceHeader]: instance.name,
			...(target === promptPath ? {[names.model]: model, [names.tokenCount]: '450,30', [names.promptParts]: `a1:400,b${this.#sent}:50`} : {}),
		};
	}

	async #killUntil(endsAt: number): Promise<void> {
		while (this.#options.disturbance.endsWith('instances') && performance.now() < endsAt - betweenKillsMilliseconds) {
			await delay(betweenKillsMilliseconds);
			await this.#deployment.restart(this.#choices.oneOf(this.#deployment.instances));
		}
	}

	/** Desks first, then as many engines. */
	#addresses(dataCentre: number): string[] {
		return Array.from({length: 2 * perDataCentre}, (_, number) => this.#deployment.endpointAddress(dataCentre + 1, number + 1));
	}

	#isCutOff(instance: string): boolean {
		return this.#options.disturbance.startsWith('relays') && instance.endsWith('-1');
	}

	#cutOffEnvironment(folder: string): Record<string, string> {
		const relays = path.join(folder, 'relays.json');
		const state = path.join(folder, 'state');
		const addresses = this.#deployment.dataCentres.flatMap((_, index) => this.#addresses(index));
		writeFileSync(relays, JSON.stringify(Object.fromEntries(addresses.map(address => [address, closedAddress]))));
		writeFileSync(state, 'refuse');
		return {
			NODE_OPTIONS: `--import ${new URL('redirect-endpoint-dials.js', import.meta.url).href}`, [relaysVariable]: relays, [linkStateVariable]: state,
		};
	}
}
