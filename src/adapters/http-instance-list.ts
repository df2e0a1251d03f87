/** The HTTP client for the platform's instance list: `GET /instances`. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type InstanceList, type InstanceListFailure} from '../ports/instance-list.js';
import {type ListedInstance} from '../shared/types.js';
import {describeError, exchangeJson} from './http-client.js';

const timeoutMilliseconds = 1500;

export class HttpInstanceList implements InstanceList {
	readonly #url: string;

	/** @param address - `IP:port` of the list. */
	constructor(address: string) {
		this.#url = `http://${address}/instances`;
	}

	async read(): Promise<Either<InstanceListFailure, ListedInstance[]>> {
		try {
			const answer = await exchangeJson({method: 'GET', url: this.#url, timeoutMilliseconds});
			return answer.status === 200
				? Right((answer.body as unknown as {instances: ListedInstance[]}).instances)
				: Left({kind: 'unavailable', detail: `status ${answer.status}`});
		} catch (error) {
			return Left({kind: 'unavailable', detail: describeError(error)});
		}
	}
}
