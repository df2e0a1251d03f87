/**
 * Engines whose pace changes, and instances that place prompts on them, in virtual time. An engine prefills its prompts one
 * after the other, and reports its pace with the first token of each. Every instance knows the loads of all others.
 */
import {seededRandom} from '../../peer/random/seeded-random.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type PaceReport, unpackPaces} from '../pace/pace-report.js';
import {SharedPaces} from '../pace/shared-paces.js';
import {CostPlacement} from '../placement/cost-placement.js';
import {type PlacementRequest} from '../placement/placement.js';
import {PacedEngine, type SentPrompt} from './paced-engine.js';
import {testPromptRequest} from './test-prompt-request.js';

/** Where instances get figures of the pace from: nowhere, their own answers, also those of all others, or the engines at once. */
export type PaceKnowledge = 'unknown' | 'own' | 'shared' | 'perfect';

export type FleetOptions = {
	knowledge: PaceKnowledge;
	/** Mean length of a slow stretch. */
	stretchMilliseconds: number;
	seed?: number;
	/** What an engine reports in place of its pace, in percent; `undefined` where it reports none. */
	report?: (engine: number, percent: number) => number | undefined;
};

/** A prompt that was served, or refused if `endpoint` is absent. */
export type FleetResult = {endpoint?: EndpointRecord; isSlow: boolean; milliseconds: number; objectiveMilliseconds: number};

const slowShare = 0.15;
const engineCount = 98;
const instanceCount = 31;
const candidateCount = 16;
const tokensPerMillisecond = 55;
const promptsPerSecond = 5.5 * engineCount;
/** From a query of an instance to its placement. */
const queryMilliseconds = 10;
/** Tokens, share of all prompts, and an objective that a slow engine misses; the work is 108 ms a prompt at the usual pace. */
const promptKinds = [[1500, 0.5, 60], [4000, 0.3, 160], [20_000, 0.2, 800]] as const;

type Prompt = {instance: number; request: PlacementRequest; candidates: readonly PacedEngine[]};

export class PacedFleet {
	readonly results: FleetResult[] = [];
	readonly #options: FleetOptions;
	readonly #random: () => number;
	readonly #engines: readonly PacedEngine[];
	readonly #byName: ReadonlyMap<string, PacedEngine>;
	readonly #instances: Array<{policy: CostPlacement; position: number}>;
	readonly #coordinator = new SharedPaces();
	#inFlight: SentPrompt[] = [];
	#waiting: Array<{at: number; run: (now: number) => void}> = [];

	constructor(options: FleetOptions) {
		this.#options = options;
		this.#random = seededRandom(options.seed ?? 1);
		this.#engines = Array.from({length: engineCount}, (_, index) => new PacedEngine(index, {slow: options.stretchMilliseconds, share: slowShare}, this.#random));
		this.#byName = new Map(this.#engines.map(engine => [engine.record.name, engine]));
		this.#instances = Array.from({length: instanceCount}, (_, instance) => ({
			policy: new CostPlacement('split', name => this.#byName.get(name)!.loadWithout(instance)), position: 0,
		}));
	}

	/** Plays so many prompts, and returns what became of each. */
	play(prompts: number): FleetResult[] {
		let arrivedAt = 0;
		for (let index = 0; index < prompts; index++) {
			arrivedAt -= Math.log(1 - this.#random()) * 1000 / promptsPerSecond;
			this.#arrive(index, arrivedAt);
		}

		this.#finish(Number.POSITIVE_INFINITY);
		return this.results;
	}

	/** A prompt arrives at a random instance, which queries the coordinator and places it some milliseconds later. */
	#arrive(index: number, now: number): void {
		for (const {at, run} of this.#waiting.filter(({at: due}) => due <= now)) {
			this.#finish(at);
			run(at);
		}

		this.#waiting = this.#waiting.filter(({at}) => at > now);
		this.#finish(now);
		const prompt = this.#draw(`p${index}`);
		const paces = this.#options.knowledge === 'shared' ? this.#ask(prompt, now) : [];
		this.#waiting.push({
			at: now + queryMilliseconds,
			run: at => {
				this.#learn(prompt, paces, {askedAt: now, now: at});
				this.#place(prompt, at);
			},
		});
	}

	#draw(id: string): Prompt {
		const draw = this.#random();
		const [tokens, , objectiveMilliseconds] = promptKinds.find((_, kind) => draw < promptKinds.slice(0, kind + 1).reduce((sum, [, share]) => sum + share, 0)) ?? promptKinds[0];
		const instance = Math.floor(this.#random() * instanceCount);
		const start = Math.floor(this.#random() * engineCount);
		const candidates = Array.from({length: candidateCount}, (_, offset) => this.#engines[(start + (2 * offset)) % engineCount]!);
		const request = testPromptRequest({
			id, objectiveMilliseconds, prompt: {
				model: 'lease', promptTokens: tokens, maxOutputTokens: 20, blocks: [{id, tokens}],
			},
		});
		return {instance, request, candidates};
	}

	/** Reports the instance's own figures to the coordinator, and returns those of others. */
	#ask({instance, candidates}: Prompt, now: number): PaceReport[] {
		const names = candidates.map(({record}) => record.name);
		const asking = this.#instances[instance]!;
		const {paces, position} = asking.policy.pacesAfter(asking.position, now);
		asking.position = position;
		this.#coordinator.note(`i${instance}`, paces, now);
		return unpackPaces(this.#coordinator.answer(`i${instance}`, [names], now), names);
	}

	#learn({instance, candidates}: Prompt, paces: readonly PaceReport[], {askedAt, now}: {askedAt: number; now: number}): void {
		const {policy} = this.#instances[instance]!;
		for (const [name, , percent, age] of paces) {
			policy.notePeerPace(this.#byName.get(name)!.record, percent, askedAt - age);
		}

		for (const engine of this.#options.knowledge === 'perfect' ? candidates : []) {
			policy.notePeerPace(engine.record, 100 * engine.paceAt(now), now);
		}
	}

	#place({instance, request, candidates}: Prompt, now: number): void {
		const {policy} = this.#instances[instance]!;
		const placement = policy.place(request, candidates.map(({record}) => record), now);
		if (placement.kind === 'none') {
			this.results.push({isSlow: false, milliseconds: Number.POSITIVE_INFINITY, objectiveMilliseconds: request.objectiveMilliseconds});
			return;
		}

		const {endpoint, basis} = placement;
		const engine = this.#byName.get(endpoint.name)!;
		policy.observe({
			kind: 'sent', request, endpoint, basis,
		}, now);
		const sent = {
			instance, request, at: now, engine, endsAt: engine.prefill(request.prompt!.promptTokens / tokensPerMillisecond, now),
		};
		engine.inFlight.push(sent);
		this.#inFlight.push(sent);
	}

	/** Delivers the answers that are complete by now. */
	#finish(now: number): void {
		for (const sent of this.#inFlight.filter(({endsAt}) => endsAt <= now).toSorted((left, right) => left.endsAt - right.endsAt)) {
			this.#answer(sent);
		}

		this.#inFlight = this.#inFlight.filter(({endsAt}) => endsAt > now);
	}

	#answer(sent: SentPrompt): void {
		const {
			instance, request, engine, at, endsAt,
		} = sent;
		const {knowledge, report = (_: number, percent: number) => percent} = this.#options;
		const {policy} = this.#instances[instance]!;
		const percent = report(this.#engines.indexOf(engine), 100 * engine.paceAt(endsAt));
		if (percent !== undefined && (knowledge === 'own' || knowledge === 'shared')) {
			policy.notePace(engine.record, percent, endsAt);
		}

		policy.observe({
			kind: 'answered', request, endpoint: engine.record, load: undefined,
		}, endsAt);
		policy.observe({
			kind: 'ended', request, endpoint: engine.record, outcome: 'whole',
		}, endsAt);
		engine.inFlight.splice(engine.inFlight.indexOf(sent), 1);
		this.results.push({
			endpoint: engine.record, isSlow: engine.paceAt(at) > 1, milliseconds: endsAt - at, objectiveMilliseconds: request.objectiveMilliseconds,
		});
	}
}

/** What callers got: quantiles of the time to the first token in milliseconds, and the share within the objective. */
export function summaryOf(results: readonly FleetResult[]): {p50: number; p99: number; inTime: number; mean: number} {
	const times = results.map(({milliseconds}) => milliseconds).toSorted((left, right) => left - right);
	const inTime = results.filter(({milliseconds, objectiveMilliseconds}) => milliseconds <= objectiveMilliseconds).length / results.length;
	const served = times.filter(time => Number.isFinite(time));
	return {
		p50: times[Math.floor(times.length / 2)]!, p99: times[Math.floor(0.99 * times.length)]!, inTime, mean: served.reduce((sum, time) => sum + time, 0) / served.length,
	};
}
