/**
 * Runs a call at most once. `ClaimMachine` decides each step; this module executes the steps: reads and writes of the claim
 * at the table service, the single send, and the waits.
 */
import {randomUUID} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type PlainAnswer, type PlainFailure} from '../../ports/plain-service.js';
import {type Row, type TableFailure} from '../../ports/table-service.js';
import {ClaimBudget, defaultClaimsPerSecond} from '../../protocol/claim/claim-budget.js';
import {ClaimMachine} from '../../protocol/claim/claim-machine.js';
import {
	type ClaimDecision, type ClaimEvent, type ClaimOutcome, type ClaimStep, type FoundClaim,
} from '../../protocol/claim/claim-steps.js';
import {
	type ClaimRow, claimTable, toRecordedAnswer, toPlainAnswer,
} from '../../protocol/claim/claim-row.js';
import {changeKeyOf, configurationTable, readChangesAfter} from '../../protocol/configuration/configuration-table.js';
import {type Refusal} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';

/** A call with an idempotency key. */
export type AtMostOnceCall = {
	/** The key of the claim's row; see `claimKeyOf`. */
	claimKey: string;
	bodyDigest: string;
	/** Path at which the caller can query the outcome later. */
	askAt: string;
	/** The configuration version under which the call was admitted. */
	configurationVersion: number;
	/** Validates the call against the configuration now in force; returns the refusal if it is no longer allowed. */
	refuseByConfiguration(): Refusal | undefined;
	/** Sends the call once. */
	send(): Promise<Either<PlainFailure, PlainAnswer>>;
};

/** The part of an entry that the runner uses. */
export type AtMostOnceContext = Pick<EntryContext, 'clock' | 'table' | 'configuration'> & {
	settings: Pick<EntryContext['settings'], 'instance'>;
	endpoints: Pick<EntryContext['endpoints'], 'entryCount'>;
};

type OutcomeHandler = (outcome: Either<Refusal, PlainAnswer>) => void;

export class AtMostOnceRunner {
	readonly #context: AtMostOnceContext;
	readonly #budget = new ClaimBudget();
	readonly #open = new Set<Promise<void>>();

	constructor(context: AtMostOnceContext) {
		this.#context = context;
	}

	/** Runs the call at most once. A duplicate call receives the recorded answer of the first one with the same key. */
	async run(call: AtMostOnceCall): Promise<Either<Refusal, PlainAnswer>> {
		const {clock, endpoints, configuration} = this.#context;
		const claimsPerSecond = configuration.state.limits.get('claims-per-second')?.value ?? defaultClaimsPerSecond;
		const refusal = this.#budget.acquire({instances: endpoints.entryCount, claimsPerSecond}, clock.now());
		if (refusal !== undefined) {
			return Left(refusal);
		}

		return new Promise(resolve => {
			const running = this.#runClaim(call, resolve).finally(() => {
				this.#budget.release();
				this.#open.delete(running);
			});
			this.#open.add(running);
		});
	}

	/** Resolves when the final state of every open claim is written, or when the last attempt to write it has failed. */
	async settle(): Promise<void> {
		await Promise.all(this.#open);
	}

	async #runClaim(call: AtMostOnceCall, respond: OutcomeHandler): Promise<void> {
		const {clock, settings} = this.#context;
		const {bodyDigest, askAt, configurationVersion} = call;
		const machine = new ClaimMachine({
			nonce: randomUUID(), holder: settings.instance, bodyDigest, askAt, configurationVersion,
		});
		let decision: ClaimDecision = machine.start(clock.now());
		for (;;) {
			if (decision.outcome !== undefined) {
				respond(resultOf(decision.outcome));
			}

			if (decision.next === undefined) {
				return;
			}

			decision = machine.handle(await this.#execute(call, decision.next), clock.now());
		}
	}

	async #execute(call: AtMostOnceCall, step: ClaimStep): Promise<ClaimEvent> {
		switch (step.kind) {
			case 'write': {
				return this.#write(call, step);
			}

			case 'read': {
				return this.#read(call);
			}

			case 'catch-up': {
				return this.#catchUp(call);
			}

			case 'send': {
				const sent = await call.send();
				return sent.caseOf<ClaimEvent>({
					Left: failure => failure.kind === 'not-sent' ? {kind: 'not-sent', detail: failure.detail} : {kind: 'send-lost'},
					Right: answer => ({kind: 'answered', answer: toRecordedAnswer(answer)}),
				});
			}

			case 'wait': {
				await this.#context.clock.sleep(step.milliseconds, new AbortController().signal);
				return {kind: 'woken'};
			}
		}
	}

	async #write(call: AtMostOnceCall, {row, revision, version}: ClaimStep & {kind: 'write'}): Promise<ClaimEvent> {
		const name = {table: claimTable, key: call.claimKey};
		// An instance with an old configuration could start a call under rules that are no longer in force. The row of the
		// next configuration change is absent exactly as long as this instance's version is the newest.
		const isNewest = version === undefined ? [] : [{table: configurationTable, key: changeKeyOf(version + 1), revision: 0}];
		const written = await this.#context.table.commit({
			conditions: [{...name, revision}, ...isNewest],
			writes: [{...name, value: row}],
		});
		return written.caseOf<ClaimEvent>({
			Left: failure => this.#classifyWriteFailure(failure),
			Right: () => {
				this.#recordTableAnswer(true);
				return {kind: 'written'};
			},
		});
	}

	#classifyWriteFailure(failure: TableFailure): ClaimEvent {
		this.#recordTableAnswer(failure.kind === 'conflict');
		if (failure.kind === 'conflict') {
			const claim = failure.current.find(({table}) => table === claimTable);
			const newerConfiguration = failure.current.some(({table}) => table === configurationTable);
			return {kind: 'write-conflict', newerConfiguration, ...foundOf(claim)};
		}

		return {kind: failure.kind === 'unavailable' ? 'write-unavailable' : 'write-lost'};
	}

	async #read(call: AtMostOnceCall): Promise<ClaimEvent> {
		const row = await this.#context.table.read({table: claimTable, key: call.claimKey});
		this.#recordTableAnswer(row.isRight());
		return row.caseOf<ClaimEvent>({
			Left: () => ({kind: 'read-failed'}),
			Right: found => ({kind: 'read', ...foundOf(found)}),
		});
	}

	async #catchUp(call: AtMostOnceCall): Promise<ClaimEvent> {
		const {table, configuration} = this.#context;
		const changes = await readChangesAfter(table, configuration.state.version);
		for (const change of changes.orDefault([])) {
			configuration.offer(change);
		}

		const refusal = call.refuseByConfiguration();
		return {kind: 'caught-up', version: configuration.state.version, ...(refusal === undefined ? {} : {refusal})};
	}

	#recordTableAnswer(answered: boolean): void {
		this.#budget.recordTableAnswer(answered, this.#context.clock.now());
	}
}

function foundOf(row: Row | undefined): {found?: FoundClaim} {
	return row === undefined ? {} : {found: {row: row.value as unknown as ClaimRow, revision: row.revision}};
}

function resultOf(outcome: ClaimOutcome): Either<Refusal, PlainAnswer> {
	return outcome.kind === 'answer' ? Right(toPlainAnswer(outcome.answer)) : Left(outcome.refusal);
}
