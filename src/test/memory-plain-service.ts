/** An in-memory booking service. It records its calls, so that tests for duplicate runs do not rely on the entry's reports. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type PlainAnswer, type PlainCall, type PlainFailure, type PlainService,
} from '../ports/plain-service.js';

export class MemoryPlainService implements PlainService {
	readonly calls: PlainCall[] = [];
	/** The number of following calls that run but whose answers are lost. */
	loseAnswers = 0;

	/** While true, calls get no answer until they are cancelled. */
	isHeld = false;
	readonly #events = new EventTarget();

	async call(_address: string, call: PlainCall, signal: AbortSignal): Promise<Either<PlainFailure, PlainAnswer>> {
		this.calls.push(call);
		this.#events.dispatchEvent(new Event('called'));
		if (this.isHeld) {
			await once(signal, 'abort');
			this.#events.dispatchEvent(new Event('cancelled'));
			return Left({kind: 'outcome-unknown', detail: 'given up'});
		}

		if (this.loseAnswers > 0) {
			this.loseAnswers--;
			return Left({kind: 'outcome-unknown', detail: 'ECONNRESET: the connection was cut'});
		}

		const {booking} = JSON.parse(call.body.toString('utf8') || '{}') as {booking?: string};
		const body = Buffer.from(JSON.stringify({booking, confirmation: `confirmed-${booking}`, run: this.calls.length}));
		return Right({status: 201, headers: {'content-type': 'application/json'}, body});
	}

	/** Resolves at the next call. */
	async called(): Promise<void> {
		await once(this.#events, 'called');
	}

	/** Resolves when a held call is cancelled. */
	async cancelled(): Promise<void> {
		await once(this.#events, 'cancelled');
	}
}
