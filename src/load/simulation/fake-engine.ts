/**
 * A fake model engine in virtual time: continuous batching in steps, prefill in chunks that slow the decoding of the
 * others, a prefix cache that evicts the least recently used piece, priorities among those that wait, and load reports.
 */
import {type CacheEvent, type LoadReport} from '../../ports/model-engine.js';
import {type PriorityClass} from '../../shared/types.js';
import {type EventQueue} from './event-queue.js';
import {RecencySet} from './recency-set.js';

export const pieceTokens = 2048;
const priorityRank: Record<PriorityClass, number> = {urgent: 0, normal: 1, overnight: 2};

/** How fast and large an engine is. */
export type EngineSpeed = {
	prefillTokensPerSecond: number;
	/** Prompt tokens that one step prefills at most. */
	chunkTokens: number;
	/** How long a step takes that only decodes. */
	stepMilliseconds: number;
	batchLimit: number;
	cachePieces: number;
};

/** A prompt at an engine. */
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
	/** Times that a step takes longer than it should. */
	slowness = 1;
	isDead = false;
	readonly #queue: EventQueue;
	readonly #speed: EngineSpeed;
	readonly #cache: RecencySet;
	readonly #publish: (event: CacheEvent) => void;
	#waiting: EngineJob[] = [];
	#batch: BatchMember[] = [];
	#isStepping = false;
	#sequence = 0;

	constructor(identity: {name: string; dataCentre: string; service: string}, speed: EngineSpeed, surroundings: {queue: EventQueue; publish: (event: CacheEvent) => void}) {
		this.name = identity.name;
		this.dataCentre = identity.dataCentre;
		this.service = identity.service;
		this.#speed = speed;
		this.#queue = surroundings.queue;
		this.#publish = surroundings.publish;
		this.#cache = new RecencySet(speed.cachePieces);
	}

	/** Takes a prompt. */
	submit(job: EngineJob): void {
		if (this.isDead) {
			job.end(false);
			return;
		}

		this.#waiting.push(job);
		this.#waiting.sort((left, right) => priorityRank[left.priority] - priorityRank[right.priority]);
		this.#startStep();
	}

	/** Takes cache pieces from a store. */
	importPieces(pieceKeys: readonly string[]): void {
		for (const key of pieceKeys) {
			this.#keep(key);
		}
	}

	/** Says whether a piece is in the prefix cache. */
	holds(pieceKey: string): boolean {
		return this.#cache.has(pieceKey);
	}

	/** Dies: everything that it had breaks off. */
	die(): void {
		this.isDead = true;
		const jobs = [...this.#waiting, ...this.#batch.map(({job}) => job)];
		this.#waiting = [];
		this.#batch = [];
		this.#cache.clear();
		for (const job of jobs) {
			job.end(false);
		}
	}

	/** Its load at this moment. */
	report(): LoadReport {
		const toPrefill = this.#batch.reduce((sum, member) => sum + member.toPrefill, 0);
		const waiting = this.#waiting.reduce((sum, job) => sum + job.promptTokens - (this.#cachedPieces(job) * pieceTokens), 0);
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
			kvTokensCapacity: this.#speed.cachePieces * pieceTokens,
			measuredAt: this.#queue.now,
		};
	}

	#startStep(): void {
		if (this.#isStepping || this.isDead) {
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
		this.#queue.after(milliseconds * this.slowness, () => {
			this.#isStepping = false;
			this.#endStep(decoding);
			this.#startStep();
		});
	}

	#fillBatch(): void {
		while (this.#batch.length < this.#speed.batchLimit && this.#waiting.length > 0) {
			const job = this.#waiting[0]!;
			if (this.#batch.length > 0 && this.#tokensInUse() + job.promptTokens + job.outputTokens > this.#speed.cachePieces * pieceTokens) {
				break;
			}

			this.#waiting.shift();
			const pieces = this.#cachedPieces(job);
			for (const key of job.pieceKeys.slice(0, pieces).toReversed()) {
				this.#cache.touch(key);
			}

			const cachedTokens = pieces * pieceTokens;
			this.#batch.push({
				job, cachedTokens, toPrefill: Math.max(1, job.promptTokens - cachedTokens), toDecode: job.outputTokens,
			});
		}
	}

	#tokensInUse(): number {
		return this.#batch.reduce((sum, {job}) => sum + job.promptTokens + job.outputTokens, 0);
	}

	#prefillChunk(): number {
		let room = this.#speed.chunkTokens;
		const inOrder = this.#batch
			.filter(member => member.toPrefill > 0)
			.toSorted((left, right) => priorityRank[left.job.priority] - priorityRank[right.job.priority]);
		for (const member of inOrder) {
			const part = Math.min(room, member.toPrefill);
			member.toPrefill -= part;
			room -= part;
			if (room === 0) {
				break;
			}
		}

		return this.#speed.chunkTokens - room;
	}

	#endStep(decoding: readonly BatchMember[]): void {
		for (const member of this.#batch) {
			if (member.toPrefill === 0 && !decoding.includes(member)) {
				// Last piece first: the end of a prefix is worth less than its start, and must be evicted before it.
				for (const key of member.job.pieceKeys.toReversed()) {
					this.#keep(key);
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

	#cachedPieces(job: EngineJob): number {
		const missing = job.pieceKeys.findIndex(key => !this.#cache.has(key));
		return missing === -1 ? job.pieceKeys.length : missing;
	}

	#keep(key: string): void {
		const isNew = !this.#cache.has(key);
		const gone = this.#cache.keep(key);
		if (isNew) {
			this.#publish({sequence: ++this.#sequence, kind: 'stored', pieceKey: key});
		}

		for (const pieceKey of gone) {
			this.#publish({sequence: ++this.#sequence, kind: 'evicted', pieceKey});
		}
	}
}
