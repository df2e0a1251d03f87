/** The HTTP client for the weight store: `GET /weights/{model}` and `GET /load`, rate-limited by 429 with `Retry-After`. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type StoredWeights, type WeightStore, type WeightStoreFailure, type WeightStoreLoad,
} from '../ports/weight-store.js';
import {parseRetryAfter} from '../shared/parse-retry-after.js';
import {connectionPool, describeError} from './http-client.js';
import {readWholeJson} from './whole-body.js';

const timeoutMilliseconds = 2000;
const defaultRetryMilliseconds = 1000;

export class HttpWeightStore implements WeightStore {
	readonly #origin: string;

	/** @param address - `IP:port` of the store. */
	constructor(address: string) {
		this.#origin = `http://${address}`;
	}

	async versions(model: string): Promise<Either<WeightStoreFailure, StoredWeights[]>> {
		const answer = await this.#get<{weights: StoredWeights[]}>(`/weights/${encodeURIComponent(model)}`);
		return answer.map(({weights}) => weights);
	}

	async load(): Promise<Either<WeightStoreFailure, WeightStoreLoad>> {
		return this.#get<WeightStoreLoad>('/load');
	}

	async #get<Value>(path: string): Promise<Either<WeightStoreFailure, Value>> {
		try {
			const answer = await connectionPool.request({
				origin: this.#origin, path, method: 'GET', signal: AbortSignal.timeout(timeoutMilliseconds),
			});
			if (answer.statusCode === 200) {
				return Right(await readWholeJson('GET', answer) as Value);
			}

			await answer.body.dump();
			if (answer.statusCode === 429) {
				const retryAfter = answer.headers['retry-after'];
				const retryAfterMilliseconds = parseRetryAfter(Array.isArray(retryAfter) ? retryAfter[0] : retryAfter, Date.now());
				return Left({kind: 'rate-limited', retryAfterMilliseconds: retryAfterMilliseconds ?? defaultRetryMilliseconds});
			}

			return Left({kind: 'unavailable', detail: `status ${answer.statusCode}`});
		} catch (error) {
			return Left({kind: 'unavailable', detail: describeError(error)});
		}
	}
}
