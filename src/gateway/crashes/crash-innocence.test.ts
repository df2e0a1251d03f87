import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Choices} from '../../check/choices.js';
import {answerProgress} from '../../decision/crashes/answer-progress.js';
import {isBlockFeature} from '../../decision/crashes/request-features.js';
import {hashOf} from '../../shared/hash-of.js';
import {AnsweredFeatures} from './answered-features.js';
import {CrashLedger, type Block} from './crash-ledger.js';
import {crashReport} from './crash-report-of.js';
import {keyOfReport} from './crash-report-rows.js';

const stepMilliseconds = 10;
const endpointCount = 12;
const firstByteMilliseconds = 150;
/** Later than this after the fifth crash, so many prompts with the block may still be sent. */
const contactMilliseconds = 3000;
const allowedLateSends = 3;
const badBlock = 'block:bad';

type Conditions = {
	seed: number;
	milliseconds: number;
	/** How long answers to sound prompts take. */
	answerMilliseconds: readonly [number, number];
	/** Between two ends of an endpoint, whatever it runs. */
	endsMilliseconds?: readonly [number, number];
	/** From when on one prompt in six holds a block under which endpoints end in the middle of the answer. */
	badFrom?: number;
	/** When sound prompts begin to hold one of some blocks that were never answered. */
	newFrom?: number;
};

type Sent = {fingerprint: string; blocks: string[]; sentAt: number; endsAt: number; endpoint: number};

/** One instance before endpoints that end, in virtual time; what it blocks is looked at after each crash. */
class Simulation {
	readonly ledger = new CrashLedger();
	/** The blocks that were blamed at any time, by when they first were. */
	readonly blamed = new Map<string, number>();
	/** When endpoints ended under the bad block. */
	readonly badCrashes: number[] = [];
	readonly badSentAt: number[] = [];
	crashes = 0;
	readonly #conditions: Conditions;
	readonly #choices: Choices;
	readonly #answered = new AnsweredFeatures();
	#inFlight: Sent[] = [];
	#requests = 0;

	constructor(conditions: Conditions) {
		this.#conditions = conditions;
		this.#choices = Choices.fromSeed(hashOf(`crash innocence ${conditions.seed}`));
	}

	run(): void {
		const {milliseconds, endsMilliseconds} = this.#conditions;
		let nextEndAt = endsMilliseconds === undefined ? Number.POSITIVE_INFINITY : this.#choices.between(...endsMilliseconds);
		for (let now = 0; now < milliseconds; now += stepMilliseconds) {
			if (now % 40 === 0) {
				this.#send(now);
			}

			this.#finish(now);
			if (now >= nextEndAt) {
				this.#end(this.#choices.between(0, endpointCount - 1), now);
				nextEndAt = now + this.#choices.between(...endsMilliseconds!);
			}
		}
	}

	#send(now: number): void {
		const {answerMilliseconds, badFrom = Number.POSITIVE_INFINITY, newFrom = Number.POSITIVE_INFINITY} = this.#conditions;
		const blocks = [`block:first-${this.#choices.between(1, 6)}`, `block:middle-${this.#choices.between(1, 8)}`];
		if (now >= newFrom && this.#choices.chance(50)) {
			blocks.push(`block:new-${this.#choices.between(1, 4)}`);
		}

		if (now >= badFrom && this.#choices.chance(16)) {
			blocks.push(badBlock);
		}

		this.#requests++;
		const fingerprint = `request-${this.#requests}`;
		if (this.ledger.blockOf({features: new Set([fingerprint, ...blocks]), workspace: 'own'}, now) === undefined) {
			const isBad = blocks.includes(badBlock);
			const lasts = isBad ? this.#choices.between(firstByteMilliseconds + 10, 500) : this.#choices.between(...answerMilliseconds);
			this.badSentAt.push(...(isBad ? [now] : []));
			this.#inFlight.push({
				fingerprint, blocks, sentAt: now, endsAt: now + lasts, endpoint: this.#choices.between(0, endpointCount - 1),
			});
		}
	}

	#finish(now: number): void {
		const ending = this.#inFlight.filter(({endsAt}) => endsAt <= now);
		for (const {endpoint} of ending.filter(({blocks}) => blocks.includes(badBlock))) {
			this.badCrashes.push(now);
			this.#end(endpoint, now);
		}

		const complete = this.#inFlight.filter(({endsAt}) => endsAt <= now);
		this.#inFlight = this.#inFlight.filter(({endsAt}) => endsAt > now);
		for (const {fingerprint, blocks, sentAt} of complete) {
			this.#answered.note([fingerprint, ...blocks], sentAt);
			for (const feature of blocks) {
				this.ledger.clear(feature, this.ledger.suspects.get(feature)?.keys() ?? []);
			}
		}
	}

	#end(endpoint: number, now: number): void {
		const lost = this.#inFlight.filter(sent => sent.endpoint === endpoint);
		this.#inFlight = this.#inFlight.filter(sent => sent.endpoint !== endpoint);
		this.crashes++;
		const requests = lost.map(({fingerprint, blocks, sentAt}) => ({
			fingerprint, blocks, workspace: 'own', inFlightMilliseconds: now - sentAt, progress: answerProgress(now - sentAt >= firstByteMilliseconds, now - sentAt - firstByteMilliseconds + 1),
		}));
		const report = crashReport({
			incarnation: `i${this.crashes}`, instance: 'e1', at: now, requests,
		}, feature => this.#answered.has(feature, now), feature => this.ledger.suspects.has(feature));
		this.ledger.put(keyOfReport(report), report);
		this.#noteBlamed(this.ledger.blocks, now);
	}

	#noteBlamed(blocks: readonly Block[], now: number): void {
		for (const feature of blocks.flatMap(({features}) => features).filter(feature => isBlockFeature(feature))) {
			this.blamed.set(feature, this.blamed.get(feature) ?? now);
		}
	}
}

const seeds = Array.from({length: 50}, (_, index) => index + 1);

function simulate(conditions: Omit<Conditions, 'seed'>): Simulation[] {
	return seeds.map(seed => {
		const simulation = new Simulation({...conditions, seed});
		simulation.run();
		return simulation;
	});
}

test('endpoints that end at random in the middle of answers do not have blocks of sound prompts refused', () => {
	const runs = simulate({milliseconds: 60_000, answerMilliseconds: [300, 1500], endsMilliseconds: [400, 1200]});
	assert.deepEqual(runs.flatMap(({blamed}) => [...blamed.keys()]), []);
	assert.ok(runs.every(({crashes}) => crashes > 40));
});

test('endpoints that end at random do not have new blocks of sound prompts refused whose first answers are in flight', () => {
	const runs = simulate({
		milliseconds: 60_000, answerMilliseconds: [300, 1500], endsMilliseconds: [400, 1200], newFrom: 30_000,
	});
	assert.deepEqual(runs.flatMap(({blamed}) => [...blamed.keys()]), []);
});

test('a block that ends endpoints in the middle of answers is blamed alone, also while others end at random', () => {
	const runs = simulate({
		milliseconds: 20_000, answerMilliseconds: [300, 1500], endsMilliseconds: [1200, 2800], badFrom: 5000,
	});
	assert.deepEqual([...new Set(runs.flatMap(({blamed}) => [...blamed.keys()]))], [badBlock]);
	const late = runs.map(({badSentAt, badCrashes}) => badSentAt.filter(at => at > badCrashes[4]! + contactMilliseconds).length);
	assert.ok(Math.max(...late) <= allowedLateSends, `${late.join(', ')} prompts with the block were sent too late`);
});
