/** The HTTP client for the object store: `GET` and `PUT /objects/{key}`. */
import {type Buffer} from 'node:buffer';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type ObjectStore, type ObjectStoreFailure} from '../ports/object-store.js';
import {connectionPool, describeError} from './http-client.js';
import {readWholeBody} from './whole-body.js';

const timeoutMilliseconds = 5000;

export class HttpObjectStore implements ObjectStore {
	readonly #origin: string;

	/** @param address - `IP:port` of the store. */
	constructor(address: string) {
		this.#origin = `http://${address}`;
	}

	async read(key: string): Promise<Either<ObjectStoreFailure, Buffer | undefined>> {
		const answer = await this.#exchange('GET', key);
		return answer.chain(({status, content}) => {
			if (status === 404) {
				return Right(undefined);
			}

			return status === 200 ? Right(content) : Left(unavailable(`status ${status}`));
		});
	}

	async write(key: string, content: Buffer): Promise<Either<ObjectStoreFailure, void>> {
		const answer = await this.#exchange('PUT', key, content);
		return answer.chain(({status}) => status === 204 ? Right(undefined) : Left(unavailable(`status ${status}`)));
	}

	async #exchange(method: 'GET' | 'PUT', key: string, body?: Buffer): Promise<Either<ObjectStoreFailure, {status: number; content: Buffer}>> {
		try {
			const answer = await connectionPool.request({
				origin: this.#origin,
				path: `/objects/${encodeURIComponent(key)}`,
				method,
				body: body ?? null,
				signal: AbortSignal.timeout(timeoutMilliseconds),
			});
			return Right({status: answer.statusCode, content: await readWholeBody(method, answer)});
		} catch (error) {
			return Left(unavailable(describeError(error)));
		}
	}
}

function unavailable(detail: string): ObjectStoreFailure {
	return {kind: 'unavailable', detail};
}
