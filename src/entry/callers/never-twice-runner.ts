/**
 * Runs a call that may never run twice: it is claimed in the table service before it is sent, the right to send is
 * confirmed by a second conditional write, and the first answer is recorded for every repeat of the key.
 */
import {randomUUID} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type PlainAnswer, type PlainFailure} from '../../ports/plain-service.js';
import {type Row, type TableFailure} from '../../ports/table-service.js';
import {
	type ClaimRow, claimTable, recordAnswer, replayAnswer,
} from '../../protocol/claim/claim-row.js';
import {type JsonValue, type Refusal} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';

const leaseMilliseconds = 5000;
const comeBackMilliseconds = 2000;
const repeatPollMilliseconds = 25;
const repeatWaitMilliseconds = 3000;

/** A call under a key. */
export type NeverTwiceCall = {
	/** The key of the claim's row; see `claimKeyOf`. */
	claimKey: string;
	bodyDigest: string;
	/** Where the outcome can be asked later. */
	askAt: string;
	/** Sends the call once. */
	send(): Promise<Either<PlainFailure, PlainAnswer>>;
};

export class NeverTwiceRunner {
	readonly #context: EntryContext;

	constructor(context: EntryContext) {
		this.#context = context;
	}

	async run(call: NeverTwiceCall): Promise<Either<Refusal, PlainAnswer>> {
		const {clock, settings, configuration, table} = this.#context;
		const row: ClaimRow = {
			stage: 'claimed',
			nonce: randomUUID(),
			holder: settings.instance,
			leaseUntil: clock.now() + leaseMilliseconds,
			bodyDigest: call.bodyDigest,
			configurationVersion: configuration.state.version,
		};
		const claimed = await this.#write(call, row, 0);
		if (claimed.isLeft()) {
			const failure = claimed.extract();
			const read = await table.read({table: claimTable, key: call.claimKey});
			const found = read.orDefault(undefined);
			const isOurs = (found?.value as ClaimRow | undefined)?.nonce === row.nonce;
			if (!isOurs) {
				return found === undefined ? Left(notRun(failure)) : this.#awaitAnswer(call, found);
			}
		}

		return this.#send(call, row);
	}

	async #send(call: NeverTwiceCall, row: ClaimRow): Promise<Either<Refusal, PlainAnswer>> {
		// The lease may have lapsed while this process was paused, and another may have taken the claim over. Sending
		// then would be the second run; this conditional write fails instead.
		const confirmed = await this.#write(call, {...row, stage: 'sending'}, 1);
		if (confirmed.isLeft()) {
			return Left(notRun(confirmed.extract()));
		}

		const answer = await call.send();
		if (answer.isLeft()) {
			const failure = answer.extract();
			if (failure.kind === 'outcome-unknown') {
				return Left(outcomeUnknown(call));
			}

			await this.#write(call, {...row, stage: 'abandoned'}, 2);
			return Left({
				reason: 'no-endpoint', ran: 'not-run', message: `the call was not sent: ${failure.detail}`, retryAfterMilliseconds: comeBackMilliseconds,
			});
		}

		const recorded = answer.extract() as PlainAnswer;
		await this.#write(call, {...row, stage: 'recorded', answer: recordAnswer(recorded)}, 2);
		return Right(recorded);
	}

	/** A repeat that meets the first call under way waits a little for its answer. */
	async #awaitAnswer(call: NeverTwiceCall, first: Row): Promise<Either<Refusal, PlainAnswer>> {
		const {clock, table} = this.#context;
		const until = clock.now() + repeatWaitMilliseconds;
		let found = first;
		while (isUnderWay(found) && clock.now() < until) {
			await clock.sleep(repeatPollMilliseconds, AbortSignal.timeout(repeatWaitMilliseconds));
			const read = await table.read({table: claimTable, key: call.claimKey});
			found = read.orDefault(undefined) ?? found;
		}

		return this.#answerRepeat(call, found);
	}

	#answerRepeat(call: NeverTwiceCall, found: Row): Either<Refusal, PlainAnswer> {
		const row = found.value as unknown as ClaimRow;
		if (row.bodyDigest !== call.bodyDigest) {
			return Left({reason: 'key-reused', ran: 'not-run', message: 'this key was used for another body'});
		}

		return row.answer === undefined ? Left(outcomeUnknown(call)) : Right(replayAnswer(row.answer));
	}

	async #write(call: NeverTwiceCall, row: ClaimRow, revision: number): Promise<Either<TableFailure, void>> {
		const name = {table: claimTable, key: call.claimKey};
		return this.#context.table.commit({
			conditions: [{...name, revision}],
			writes: [{...name, value: row}],
		});
	}
}

function isUnderWay(row: Row): boolean {
	const {stage} = row.value as unknown as ClaimRow;
	return stage === 'claimed' || stage === 'sending';
}

function notRun(failure: TableFailure): Refusal {
	return {
		reason: 'platform-unavailable', ran: 'not-run', message: `the call could not be claimed (${failure.kind}) and was not sent`, retryAfterMilliseconds: comeBackMilliseconds,
	};
}

function outcomeUnknown(call: NeverTwiceCall): Refusal {
	return {
		reason: 'outcome-unknown', ran: 'unknown', message: 'the call may have run; it will not be sent again', retryAfterMilliseconds: comeBackMilliseconds, askAt: call.askAt,
	};
}
