/**
 * Checks over real gateway processes that prompts with a block that crashes the engines which begin to answer it are kept from
 * the engines once five have ended, although no two of these prompts are alike, and that sound prompts, which share the caller,
 * the route and the other blocks with them, are served and never taken for them.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {
	type BlockCase, type BlockConditions, conditionsOf, type CrashMoment,
} from './crashing-block-conditions.js';
import {CrashingBlockEngines, engineSlots} from './crashing-block-engines.js';
import {type BlockJudgement, type BlockRecord, judgeBlocks} from './crashing-block-judgement.js';
import {CrashingBlockTraffic, promptModel, promptRoutes} from './crashing-block-traffic.js';
import {contactMilliseconds, GatewayDeployment, type GatewayInstance} from './gateway-deployment.js';

export type CrashingBlocksOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
	case: BlockCase;
	/** How far answers have come when engines end. */
	moment?: CrashMoment;
	/** Where the instances' log lines, and what engines and callers saw, are written for a closer look. */
	traceFolder?: string | undefined;
};

export type CrashingBlocksReport = BlockJudgement & {
	seed: number;
	case: BlockCase;
	moment: CrashMoment;
	/** Engines that ended under requests with a crashing block, and those that ended at random. */
	crashes: number;
	randomEnds: number;
	/** Sends of requests with a crashing block, and those of them that were refused for it. */
	crashingSends: number;
	crashingRefused: number;
};

const service = 'desk';
const dataCentres = 3;
const instancesPerDataCentre = 2;
const engine = {
	slots: engineSlots, kv_capacity_tokens: 200_000, kv_token_bytes: 1000, link_mbps: 1000, models: [{name: promptModel}],
};
const storeAwayMilliseconds = 9000;
const betweenKillsMilliseconds = 4000;
const kills = 2;
const betweenSeldomEndsMilliseconds = [1200, 2800] as const;
const betweenFrequentEndsMilliseconds = [400, 1200] as const;
const betweenHalfEndsMilliseconds = 5000;

export async function runCrashingBlocks(options: CrashingBlocksOptions): Promise<CrashingBlocksReport> {
	const run = new CrashingBlocksRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class CrashingBlocksRun {
	readonly #options: CrashingBlocksOptions;
	readonly #conditions: BlockConditions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #engines: CrashingBlockEngines;
	readonly #traffic: CrashingBlockTraffic;
	#isStoreAway = false;

	constructor(options: CrashingBlocksOptions) {
		this.#options = options;
		const conditions = conditionsOf[options.case];
		this.#conditions = {...conditions, crashMoment: options.moment ?? conditions.crashMoment};
		const choicesOf = (part: string): Choices => Choices.fromSeed(hashOf(`crashing blocks ${options.seed} ${part}`));
		this.#choices = choicesOf('disturbances');
		this.#deployment = new GatewayDeployment({
			network: options.network, dataCentres, instancesPerDataCentre, routes: promptRoutes(service), services: [{name: service, engine}],
		});
		const shared = {deployment: this.#deployment, conditions: this.#conditions, isInTouch: (instance: GatewayInstance) => this.#isInTouch(instance)};
		this.#engines = new CrashingBlockEngines({...shared, service, choices: choicesOf('engines')});
		this.#traffic = new CrashingBlockTraffic({...shared, choices: choicesOf('traffic')});
	}

	async start(): Promise<void> {
		await this.#engines.start();
		await this.#deployment.start();
	}

	async play(): Promise<CrashingBlocksReport> {
		const startedAt = performance.now();
		const endsAt = startedAt + this.#options.milliseconds;
		this.#engines.noteTrafficStart(startedAt);
		await Promise.all([this.#traffic.send(startedAt, endsAt), this.#disturb(endsAt)]);
		const {
			crashes, arrivals, randomEnds, ranAttempts,
		} = this.#engines;
		const {
			sound, crashingSends, crashingRefused, refusedAttempts,
		} = this.#traffic;
		this.#writeTrace({
			startedAt, crashes, arrivals, sound,
		});
		return {
			seed: this.#options.seed,
			case: this.#options.case,
			moment: this.#conditions.crashMoment,
			crashes: crashes.length,
			randomEnds,
			crashingSends,
			crashingRefused,
			...judgeBlocks(this.#conditions, {
				startedAt, arrivals, crashes, sound, ranAttempts, refusedAttempts,
			}),
		};
	}

	async stop(): Promise<void> {
		this.#engines.stop();
		await this.#deployment.stop();
	}

	/** Whether an instance has run, and the store has answered it, for the contact time. */
	#isInTouch({disturbedAt}: GatewayInstance): boolean {
		return !this.#isStoreAway && performance.now() - disturbedAt > contactMilliseconds;
	}

	#writeTrace(seen: Omit<BlockRecord, 'refusedAttempts' | 'ranAttempts'>): void {
		const {traceFolder, case: name, seed} = this.#options;
		if (traceFolder === undefined) {
			return;
		}

		const startedAtWall = Date.now() - (performance.now() - seen.startedAt);
		writeFileSync(path.join(traceFolder, `${name}-${seed}-seen.json`), JSON.stringify({...seen, startedAtWall}));
		writeFileSync(path.join(traceFolder, `${name}-${seed}-lines.jsonl`), this.#deployment.lines().map(line => JSON.stringify(line)).join('\n'));
	}

	async #disturb(endsAt: number): Promise<void> {
		await delay(this.#conditions.disturbedFrom);
		switch (this.#conditions.disturbance) {
			case 'none': {
				return;
			}

			case 'store-away': {
				this.#isStoreAway = true;
				await Promise.all(this.#deployment.dataCentres.map(async dataCentre => this.#deployment.cutStore(dataCentre, storeAwayMilliseconds)));
				this.#isStoreAway = false;
				return;
			}

			case 'instances-killed': {
				return this.#kill(number => this.#deployment.instances[number]);
			}

			case 'coordinator-killed': {
				return this.#kill(() => this.#deployment.coordinator());
			}

			case 'ends-seldom': {
				return this.#endEngines(endsAt, betweenSeldomEndsMilliseconds);
			}

			case 'ends-often': {
				return this.#endEngines(endsAt, betweenFrequentEndsMilliseconds);
			}

			case 'half-ends': {
				await this.#engines.endAtRandom(this.#engines.count / 2);
				await delay(betweenHalfEndsMilliseconds);
				await this.#engines.endAtRandom(this.#engines.count / 2);
			}
		}
	}

	async #kill(instanceOf: (number: number) => GatewayInstance | undefined): Promise<void> {
		for (let number = 0; number < kills; number++) {
			const instance = instanceOf(number);
			await (instance === undefined ? undefined : this.#deployment.restart(instance));
			await delay(betweenKillsMilliseconds);
		}
	}

	/** Ends one engine after the other, whatever it runs. */
	async #endEngines(endsAt: number, betweenMilliseconds: readonly [minimum: number, maximum: number]): Promise<void> {
		const ending: Array<Promise<void>> = [];
		while (performance.now() < endsAt) {
			ending.push(this.#engines.endAtRandom(1));
			await delay(this.#choices.between(...betweenMilliseconds));
		}

		await Promise.all(ending);
	}
}
