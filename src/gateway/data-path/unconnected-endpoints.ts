/**
 * The endpoints to which a request was not sent because no connection was established. Each may be tried once more when another
 * instance is found to reach it.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type EndpointPaths} from '../endpoints/endpoint-paths.js';

export class UnconnectedEndpoints {
	readonly #paths: Pick<EndpointPaths, 'isRelayed' | 'settled'>;
	readonly #attempted: Set<string>;
	readonly #unconnected = new Map<string, EndpointRecord>();

	/** @param attempted - The names of all endpoints that the request was tried at; those that may be tried again are removed. */
	constructor(paths: Pick<EndpointPaths, 'isRelayed' | 'settled'>, attempted: Set<string>) {
		this.#paths = paths;
		this.#attempted = attempted;
	}

	/** Records that no direct connection to an endpoint was established. */
	add(endpoint: EndpointRecord): void {
		this.#unconnected.set(endpoint.name, endpoint);
	}

	/** Allows the endpoints again that can be reached through another instance by now; returns whether there are any. */
	regain(): boolean {
		const regained = [...this.#unconnected.values()].filter(endpoint => this.#paths.isRelayed(endpoint));
		for (const {name} of regained) {
			this.#unconnected.delete(name);
			this.#attempted.delete(name);
		}

		return regained.length > 0;
	}

	/** The same after it is known which of them can be reached. */
	async regainSettled(): Promise<boolean> {
		await this.#paths.settled([...this.#unconnected.values()]);
		return this.regain();
	}
}
