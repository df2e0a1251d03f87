/**
 * A fake model engine in virtual time. It batches continuously in steps, prefills in chunks that slow down the decoding
 * of the other requests in the batch, evicts the least recently used blocks from its prefix cache, serves waiting requests
 * by priority and reports its load.
 */
import {type CacheEvent, type LoadReport} from '../../ports/model-engine.js';
import {type PriorityClass} from '../../shared/types.js';
import {type EventQueue} from './event-queue.js';
import {LruSet} from './lru-set.js';

export const blockTokens = 2048;
const priorityRank: Record<PriorityClass, number> = {urgent: 0, normal: 1, overnight: 2};

/** Speed and capacity of an engine. */
export type EngineSpeed = {
	prefillTokensPerSecond: number;
	/** Maximum number of prompt tokens that one step prefills. */
	chunkTokens: number;
	/** Duration of a step that only decodes. */
	stepMilliseconds: number;
	batchLimit: number;
	cachePieces: number;
};

/** A prompt sent to an engine, with the callbacks for its first token and its end. */
export type EngineJob = {
	requestId: string;
	priority: PriorityClass;
	pieceKeys: readonly string[];
	promptTokens: number;
	outputTokens: number;
	firstToken(cachedTokens: number): void;
	end(isWhole: boolean): void;
};

type BatchMember = {job: EngineJob; cachedTokens: number; toPrefill: number; toDecode: number};

export class FakeEngine {
	readonly name: string;
	readonly dataCentre: string;
	readonly service: string;
	/** Factor by which the duration of each step is multiplied. */
	slowdownFactor = 1;
	isDown = false;
	readonly #queue: EventQueue;
	readonly #speed: EngineSpeed;
	readonly #cache: LruSet;
	readonly #publish: (event: CacheEvent) => void;
	#waiting: EngineJob[] = [];
	#batch: BatchMember[] = [];
	#isStepping = false;
	#sequence = 0;

	constructor(identity: {name: string; dataCentre: string; service: string}, speed: EngineSpeed, dependencies: {queue: EventQueue; publish: (event: CacheEvent) => void}) {
		this.name = identity.name;
		this.dataCentre = identity.dataCentre;
		this.service = identity.service;
		this.#speed = speed;
		this.#queue = dependencies.queue;
		this.#publish = dependencies.publish;
		this.#cache = new LruSet(speed.cachePieces);
	}

	/** Accepts a prompt; an engine that is down ends it as failed at once. */
	submit(job: EngineJob): void {
		if (this.isDown) {
			job.end(false);
			return;
		}

		this.#waiting.push(job);
		this.#waiting.sort((left, right) => priorityRank[left.priority] - priorityRank[right.priority]);
		this.#startStep();
	}

	/** Adds cache blocks that were fetched from a store. */
	importBlocks(pieceKeys: readonly string[]): void {
		for (const key of pieceKeys) {
			this.#addToCache(key);
		}
	}

	/** Returns whether a block is in the prefix cache. */
	holds(pieceKey: string): boolean {
		return this.#cache.has(pieceKey);
	}

	/** Crashes: the cache is lost, and all waiting and running prompts end as failed. */
	crash(): void {
		this.isDown = true;
		const jobs = [...this.#waiting, ...this.#batch.map(({job}) => job)];
		this.#waiting = [];
		this.#batch = [];
		this.#cache.clear();
		for (const job of jobs) {
			job.end(false);
		}
	}

	/** Returns the current load. */
	report(): LoadReport {
		const toPrefill = this.#batch.reduce((sum, member) => sum + member.toPrefill, 0);
		const waiting = this.#waiting.reduce((sum, job) => sum + job.promptTokens - (this.#cachedBlocks(job) * blockTokens), 0);
		return {
			model: this.service,
			weightVersion: 'v1',
			state: 'live',
			runningRequests: this.#batch.length,
			waitingRequests: this.#waiting.length,
			waitingPrefillTokens: toPrefill + waiting,
			prefillTokensPerSecond: this.#speed.prefillTokensPerSecond,
			decodeTokensPerSecond: 1000 / this.#speed.stepMilliseconds,
			batchLimit: this.#speed.batchLimit,
			kvTokensUsed: this.#tokensInUse(),
			kvTokensCapacity: this.#speed.cachePieces * blockTokens,
			measuredAt: this.#queue.now,
		};
	}

	#startStep(): void {
		if (this.#isStepping || this.isDown) {
			return;
		}

		this.#fillBatch();
		if (this.#batch.length === 0) {
			return;
		}

		this.#isStepping = true;
		const decoding = this.#batch.filter(member => member.toPrefill === 0);
		const prefilled = this.#prefillChunk();
		const milliseconds = this.#speed.stepMilliseconds + (1000 * prefilled / this.#speed.prefillTokensPerSecond);
		this.#queue.after(milliseconds * this.slowdownFactor, () => {
			this.#isStepping = false;
			this.#endStep(decoding);
			this.#startStep();
		});
	}

	#fillBatch(): void {
		while (this.#batch.length < this.#speed.batchLimit && this.#waiting.length > 0) {
			const job = this.#waiting[0]!;
			if (this.#batch.length > 0 && this.#tokensInUse() + job.promptTokens + job.outputTokens > this.#speed.cachePieces * blockTokens) {
				break;
			}

			this.#waiting.shift();
			const cachedBlocks = this.#cachedBlocks(job);
			for (const key of job.pieceKeys.slice(0, cachedBlocks).toReversed()) {
				this.#cache.touch(key);
			}

			const cachedTokens = cachedBlocks * blockTokens;
			this.#batch.push({
				job, cachedTokens, toPrefill: Math.max(1, job.promptTokens - cachedTokens), toDecode: job.outputTokens,
			});
		}
	}

	#tokensInUse(): number {
		return this.#batch.reduce((sum, {job}) => sum + job.promptTokens + job.outputTokens, 0);
	}

	#prefillChunk(): number {
		let remainingTokens = this.#speed.chunkTokens;
		const byPriority = this.#batch
			.filter(member => member.toPrefill > 0)
			.toSorted((left, right) => priorityRank[left.job.priority] - priorityRank[right.job.priority]);
		for (const member of byPriority) {
			const prefilledTokens = Math.min(remainingTokens, member.toPrefill);
			member.toPrefill -= prefilledTokens;
			remainingTokens -= prefilledTokens;
			if (remainingTokens === 0) {
				break;
			}
		}

		return this.#speed.chunkTokens - remainingTokens;
	}

	#endStep(decoding: readonly BatchMember[]): void {
		for (const member of this.#batch) {
			if (member.toPrefill === 0 && !decoding.includes(member)) {
				// Last block first, so that the end of a prefix, useless without its start, is evicted before it.
				for (const key of member.job.pieceKeys.toReversed()) {
					this.#addToCache(key);
				}

				member.job.firstToken(member.cachedTokens);
			}
		}

		for (const member of decoding) {
			member.toDecode--;
		}

		const ended = this.#batch.filter(member => member.toPrefill === 0 && member.toDecode <= 0);
		this.#batch = this.#batch.filter(member => !ended.includes(member));
		for (const {job} of ended) {
			job.end(true);
		}
	}

	#cachedBlocks(job: EngineJob): number {
		const missing = job.pieceKeys.findIndex(key => !this.#cache.has(key));
		return missing === -1 ? job.pieceKeys.length : missing;
	}

	#addToCache(key: string): void {
		const isNew = !this.#cache.has(key);
		const evicted = this.#cache.add(key);
		if (isNew) {
			this.#publish({sequence: ++this.#sequence, kind: 'stored', pieceKey: key});
		}

		for (const pieceKey of evicted) {
			this.#publish({sequence: ++this.#sequence, kind: 'evicted', pieceKey});
		}
	}
}
