/**
 * Sends long prompts to real processes again after their prefixes were evicted from every engine. Each round sends every
 * prompt to another entry with another question at its end; the engines' caches hold less than half of the prompts.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {blockCharacters} from '../cache/block-keys.js';
import {sendPrompt} from '../demo/demo-client.js';
import {quantileOf} from '../demo/demo-report.js';
import {demoDeclarationPath, permitsModelService} from '../demo/demo-declaration.js';
import {Deployment} from '../demo/deployment.js';
import {engineAnswerTo} from '../stand-in/engine-token-at.js';

const prompts = 8;
const promptCharacters = 40_000;
const answerTokens = 6;
/** Engine blocks of 512 tokens that an engine's cache holds; a prompt of 40,000 characters has 19. */
const cacheBlocks = '40';
const blocksPerPrompt = Math.floor(promptCharacters / blockCharacters);
const savedPollMilliseconds = 20;
/** Ten seconds in all: blocks are saved one prompt after the other, and each save is attempted for up to 1.4 s. */
const maxSavedPolls = 500;

/** The figures of all rounds but the first, before which nothing was cached. */
export type ReturningReport = {
	stores: number;
	requests: number;
	wholeAnswers: number;
	shareRecomputed: number;
	timeToFirstTokenMedianMilliseconds: number;
	timeToFirstTokenP95Milliseconds: number;
	piecesRead: number;
};

/**
 * Runs the rounds.
 *
 * @param plan - The number of rounds and of stores (0 is the baseline), and whether the stores are killed after the first
 * round.
 * @returns The figures.
 */
export async function runReturningPrompts(plan: {rounds: number; stores: number; storesDie?: boolean}): Promise<ReturningReport> {
	const deployment = new Deployment({
		dataCentres: ['split-riva'],
		entriesPerDataCentre: 3,
		enginesPerDataCentre: 2,
		cacheStoresPerDataCentre: plan.stores,
		modelServices: [permitsModelService],
		plainService: 'bookings',
		engineArguments: ['--cache-pieces', cacheBlocks, '--prefill-tokens-per-second', '20000', '--milliseconds-per-token', '1'],
	});
	try {
		await deployment.start();
		await deployment.apply(demoDeclarationPath, 'returning prompts', () => undefined);
		return await new ReturningRun(deployment).run(plan);
	} finally {
		await deployment.stop();
	}
}

type PromptOutcome = {isWhole: boolean; promptTokens: number; cachedTokens: number; firstToken: number};

class ReturningRun {
	readonly #deployment: Deployment;

	constructor(deployment: Deployment) {
		this.#deployment = deployment;
	}

	async run({rounds, stores, storesDie}: {rounds: number; stores: number; storesDie?: boolean}): Promise<ReturningReport> {
		const answered: PromptOutcome[] = [];
		for (let round = 0; round < rounds; round++) {
			for (let prompt = 0; prompt < prompts; prompt++) {
				answered.push(await this.#sendPrompt(round, prompt));
			}

			const haveDied = storesDie && round > 0;
			await this.#waitUntilSaved(haveDied ? 0 : stores);
			if (storesDie && round === 0) {
				for (const {process} of this.#deployment.withRole('cache-store')) {
					process.child.kill('SIGKILL');
				}
			}
		}

		const counted = answered.slice(prompts);
		const total = (of: (answer: PromptOutcome) => number): number => counted.map(answer => of(answer)).reduce((sum, value) => sum + value, 0);
		const firstTokens = counted.map(({firstToken}) => firstToken);
		return {
			stores,
			requests: counted.length,
			wholeAnswers: counted.filter(({isWhole}) => isWhole).length,
			shareRecomputed: 1 - (total(({cachedTokens}) => cachedTokens) / total(({promptTokens}) => promptTokens)),
			timeToFirstTokenMedianMilliseconds: quantileOf(firstTokens, 0.5),
			timeToFirstTokenP95Milliseconds: quantileOf(firstTokens, 0.95),
			piecesRead: storesDie ? 0 : await this.#countAtStores('reads'),
		};
	}

	async #sendPrompt(round: number, prompt: number): Promise<PromptOutcome> {
		const entries = this.#deployment.withRole('entry');
		const subject = `rulebook ${prompt} `;
		const content = `${subject.repeat(Math.ceil(promptCharacters / subject.length))}\nQuestion ${round}`;
		const result = await sendPrompt({
			entry: entries[(round + prompt) % entries.length]!.listed.address, key: 'quay-demo-key', model: 'permit-1', content, maxTokens: answerTokens, stream: true,
		}, () => performance.now());
		return {
			isWhole: result.status === 200 && result.text === engineAnswerTo(`user: ${content}`, answerTokens),
			promptTokens: result.promptTokens,
			cachedTokens: result.cachedTokens,
			firstToken: result.timeToFirstTokenMilliseconds ?? 0,
		};
	}

	/**
	 * Waits until the stores hold every whole block of every prompt. The wait is limited: a prompt whose blocks are never
	 * saved is recomputed, which shows in `shareRecomputed`.
	 */
	async #waitUntilSaved(stores: number): Promise<void> {
		if (stores === 0) {
			return;
		}

		for (let count = 0; count < maxSavedPolls && await this.#countAtStores('pieces') < prompts * blocksPerPrompt; count++) {
			await delay(savedPollMilliseconds);
		}
	}

	async #countAtStores(name: 'pieces' | 'reads'): Promise<number> {
		const counts = await Promise.all(this.#deployment.withRole('cache-store').map(async ({listed}) => this.#deployment.countsOf(listed.address)));
		return counts.map(count => Number(count[name])).reduce((sum, value) => sum + value, 0);
	}
}
