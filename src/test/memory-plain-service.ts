/** A booking service in memory. It counts what it ran, so that a second run is seen here and not by our own word. */
import {Buffer} from 'node:buffer';
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type PlainAnswer, type PlainCall, type PlainFailure, type PlainService,
} from '../ports/plain-service.js';

export class MemoryPlainService implements PlainService {
	readonly calls: PlainCall[] = [];
	/** How many coming calls run and then lose their answer. */
	loseAnswers = 0;

	async call(_address: string, call: PlainCall): Promise<Either<PlainFailure, PlainAnswer>> {
		this.calls.push(call);
		if (this.loseAnswers > 0) {
			this.loseAnswers--;
			return Left({kind: 'outcome-unknown', detail: 'ECONNRESET: the connection was cut'});
		}

		const {booking} = JSON.parse(call.body.toString('utf8') || '{}') as {booking?: string};
		const body = Buffer.from(JSON.stringify({booking, confirmation: `confirmed-${booking}`, run: this.calls.length}));
		return Right({status: 201, headers: {'content-type': 'application/json'}, body});
	}
}
