/**
 * In-memory model engines, by address. They generate the stand-in engine's tokens, which depend on the prompt. Tests can
 * make them cut, stall, pause or reject a call, or change weights; each fault applies to one call.
 */
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type CacheEvent, type EngineCall, type EngineEvent, type EngineFailure, type LoadReport, type ModelEngine,
	type OrderFailure,
} from '../ports/model-engine.js';
import {promptTextOf} from '../shared/prompt-text-of.js';
import {engineTokenAt} from '../stand-in/engine-token-at.js';

const charactersPerToken = 4;
const defaultTokens = 4;

/** The fault of a call. `pause` lasts until `resume()`; `stall` sends nothing until the call is cancelled. */
export type EngineFault
	= | {kind: 'cut' | 'stall' | 'pause'; afterTokens: number}
		| {kind: 'fail'; failure: EngineFailure};

export class MemoryModelEngine implements ModelEngine {
	readonly weightVersions = new Map<string, string>();
	readonly calls: Array<{address: string; call: EngineCall}> = [];
	cancelled = 0;
	#isCutRequested = false;
	readonly #faults = new Map<string, EngineFault[]>();
	readonly #seenPrompts = new Set<string>();
	readonly #resumeCallbacks: Array<() => void> = [];
	readonly #haltWaiters: Array<() => void> = [];
	readonly #haltedCalls = new Set<AbortController>();

	/** Adds faults for the next calls at an address, one for each call. */
	failNext(address: string, ...faults: EngineFault[]): void {
		this.#faults.set(address, [...this.#faults.get(address) ?? [], ...faults]);
	}

	/** Resolves when at least this many calls are stalled or paused. */
	async halted(count = 1): Promise<void> {
		while (this.#haltedCalls.size < count) {
			await new Promise<void>(resolve => {
				this.#haltWaiters.push(resolve);
			});
		}
	}

	/** Lets paused calls continue. */
	resume(): void {
		for (const wake of this.#resumeCallbacks.splice(0)) {
			wake();
		}
	}

	/** Resumes paused calls, and cuts the connection of the first. */
	cutFirstHalted(): void {
		this.#isCutRequested = true;
		this.resume();
	}

	async * complete(address: string, call: EngineCall, signal: AbortSignal): AsyncIterable<Either<EngineFailure, EngineEvent>> {
		this.calls.push({address, call});
		const fault = this.#faults.get(address)?.shift();
		if (fault?.kind === 'fail') {
			yield Left(fault.failure);
			return;
		}

		const weightVersion = this.weightVersions.get(address) ?? 'w1';
		if (call.weightVersion !== weightVersion) {
			yield Left({kind: 'version-swapped', weightVersion});
			return;
		}

		yield Right({kind: 'started', weightVersion});
		yield * this.#tokens({call, weightVersion, fault}, signal);
	}

	async loadReport(): Promise<Either<EngineFailure, LoadReport>> {
		return Left({kind: 'broken', detail: 'tests pass load reports to the directory directly'});
	}

	async cacheEvents(): Promise<Either<EngineFailure, CacheEvent[]>> {
		return Right([]);
	}

	async order(): Promise<Either<OrderFailure, void>> {
		return Right(undefined);
	}

	async exportBlock(): Promise<Either<EngineFailure, Buffer | undefined>> {
		return Right(undefined);
	}

	async importBlock(): Promise<Either<EngineFailure, void>> {
		return Right(undefined);
	}

	async * #tokens(run: {call: EngineCall; weightVersion: string; fault: EngineFault | undefined}, signal: AbortSignal): AsyncIterable<Either<EngineFailure, EngineEvent>> {
		const {call, weightVersion, fault} = run;
		const prompt = promptTextOf(call.body);
		const cacheKey = `${call.cacheSalt}|${weightVersion}|${prompt}`;
		const tokens = Number(call.body.max_tokens ?? defaultTokens);
		const promptTokens = Math.ceil(prompt.length / charactersPerToken);
		const cachedTokens = this.#seenPrompts.has(cacheKey) ? promptTokens : 0;
		this.#seenPrompts.add(cacheKey);
		for (let index = call.tokensPassedOn; index < tokens; index++) {
			if (fault !== undefined && fault.kind !== 'fail' && index === fault.afterTokens) {
				await this.#halt(fault.kind, signal);
			}

			if (this.#isCutRequested && fault !== undefined) {
				this.#isCutRequested = false;
				yield Left({kind: 'broken', detail: 'the connection was cut'});
				return;
			}

			if (signal.aborted || (fault?.kind === 'cut' && index >= fault.afterTokens)) {
				this.cancelled += signal.aborted ? 1 : 0;
				yield Left({kind: 'broken', detail: 'the connection was cut'});
				return;
			}

			yield Right({
				kind: 'tokens', firstIndex: index, count: 1, text: engineTokenAt(`${weightVersion}:${prompt}`, index),
			});
		}

		yield Right({
			kind: 'finished', finishReason: 'length', promptTokens, cachedTokens, completionTokens: tokens,
		});
	}

	async #halt(kind: 'cut' | 'stall' | 'pause', signal: AbortSignal): Promise<void> {
		if (kind === 'cut' || signal.aborted) {
			return;
		}

		const resumption = new AbortController();
		this.#haltedCalls.add(resumption);
		if (kind === 'pause') {
			this.#resumeCallbacks.push(() => {
				resumption.abort();
			});
		}

		for (const wake of this.#haltWaiters.splice(0)) {
			wake();
		}

		await Promise.race([once(signal, 'abort'), once(resumption.signal, 'abort')]);
		this.#haltedCalls.delete(resumption);
	}
}
