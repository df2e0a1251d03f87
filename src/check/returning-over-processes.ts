/**
 * Long prompts that come back over real processes after their prefix was evicted from every engine: each round asks
 * every prompt once more with another question behind it, at another entry, and the engines' caches hold less than half
 * of the prompts.
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
/** Blocks of 512 tokens that an engine holds: 40,000 characters are 19. */
const cacheBlocks = '40';
const wholePiecesOfPrompt = Math.floor(promptCharacters / blockCharacters);
const settleMilliseconds = 20;
/** Ten seconds: saves are tried for 1.4 s, one prompt behind the other. */
const settleTries = 500;

/** What the rounds came to, the first one left out: nothing was kept before it. */
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
 * Plays the rounds.
 *
 * @param plan - How many rounds, how many stores there are (none is the baseline), and whether they die behind the first.
 * @returns The report.
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

type Answered = {isWhole: boolean; promptTokens: number; cachedTokens: number; firstToken: number};

class ReturningRun {
	readonly #deployment: Deployment;

	constructor(deployment: Deployment) {
		this.#deployment = deployment;
	}

	async run({rounds, stores, storesDie}: {rounds: number; stores: number; storesDie?: boolean}): Promise<ReturningReport> {
		const answered: Answered[] = [];
		for (let round = 0; round < rounds; round++) {
			for (let prompt = 0; prompt < prompts; prompt++) {
				answered.push(await this.#ask(round, prompt));
			}

			const haveDied = storesDie && round > 0;
			await this.#settle(haveDied ? 0 : stores);
			if (storesDie && round === 0) {
				for (const {process} of this.#deployment.withRole('cache-store')) {
					process.child.kill('SIGKILL');
				}
			}
		}

		const counted = answered.slice(prompts);
		const total = (of: (answer: Answered) => number): number => counted.map(answer => of(answer)).reduce((sum, value) => sum + value, 0);
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

	async #ask(round: number, prompt: number): Promise<Answered> {
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
	 * Waits until the stores hold every whole piece of every prompt. One that is never saved is not waited for without end:
	 * its prompt is computed again, and the share of the report tells.
	 */
	async #settle(stores: number): Promise<void> {
		if (stores === 0) {
			return;
		}

		for (let count = 0; count < settleTries && await this.#countAtStores('pieces') < prompts * wholePiecesOfPrompt; count++) {
			await delay(settleMilliseconds);
		}
	}

	async #countAtStores(name: 'pieces' | 'reads'): Promise<number> {
		const counts = await Promise.all(this.#deployment.withRole('cache-store').map(async ({listed}) => this.#deployment.countsOf(listed.address)));
		return counts.map(count => Number(count[name])).reduce((sum, value) => sum + value, 0);
	}
}
