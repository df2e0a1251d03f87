/** Talks to the operators' HTTP of one entry. */
import {exchangeJson, type JsonAnswer} from '../adapters/http-client.js';
import {type ConfigurationProposal, type ConfigurationHead} from '../protocol/configuration/configuration-table.js';
import {type ConfigurationState, emptyConfiguration} from '../protocol/configuration/configuration-state.js';
import {
	type ConfigurationChange, type JsonValue, type LimitItem, type RuleItem, type ServiceItem, type WorkspaceItem,
} from '../shared/types.js';

const timeoutMilliseconds = 10_000;

/** The answer to a proposal. */
export type ProposalAnswer
	= | {kind: 'accepted'; change: ConfigurationChange}
		| {kind: 'overtaken'; since: ConfigurationChange[]}
		| {kind: 'unavailable' | 'outcome-unknown'; detail: string};

/** Thrown when the entry refuses or cannot be reached. */
export class OperatorClientError extends Error {
	override readonly name = 'OperatorClientError';
}

export class OperatorClient {
	readonly #baseUrl: string;
	readonly #key: string;

	/**
	 * @param address - `IP:port` of an entry's operators' listener.
	 * @param key - The operators' key.
	 */
	constructor(address: string, key: string) {
		this.#baseUrl = `http://${address}`;
		this.#key = key;
	}

	/** The configuration in force at this entry. */
	async configuration(): Promise<ConfigurationState> {
		const body = await this.#get('/operator/configuration') as unknown as {
			version: number; digest: string; workspaces: WorkspaceItem[]; services: ServiceItem[]; rules: RuleItem[]; limits: LimitItem[];
		};
		const byName = <Item extends {name: string}>(items: readonly Item[]): Map<string, Item> => new Map(items.map(item => [item.name, item]));
		return {
			...emptyConfiguration,
			version: body.version,
			digest: body.digest,
			workspaces: byName(body.workspaces),
			services: byName(body.services),
			rules: byName(body.rules),
			limits: byName(body.limits),
		};
	}

	/** The newest accepted version. */
	async head(): Promise<ConfigurationHead> {
		return await this.#get('/operator/configuration/head') as unknown as ConfigurationHead;
	}

	/** All accepted changes, oldest first. */
	async changes(): Promise<ConfigurationChange[]> {
		const body = await this.#get('/operator/configuration/changes') as unknown as {changes: ConfigurationChange[]};
		return body.changes;
	}

	/** Asks for a change. */
	async propose(proposal: ConfigurationProposal): Promise<ProposalAnswer> {
		const {status, body} = await this.#exchange('POST', '/operator/configuration/changes', proposal);
		if (status === 201) {
			return {kind: 'accepted', change: body as unknown as ConfigurationChange};
		}

		if (status === 409 || status === 502 || status === 503) {
			return body as unknown as ProposalAnswer;
		}

		throw new OperatorClientError(`the entry answered ${status}`);
	}

	async #get(path: string): Promise<JsonValue> {
		const {status, body} = await this.#exchange('GET', path);
		if (status !== 200 || body === undefined) {
			throw new OperatorClientError(`${path}: the entry answered ${status}`);
		}

		return body;
	}

	async #exchange(method: 'GET' | 'POST', path: string, body?: JsonValue): Promise<JsonAnswer> {
		return exchangeJson({
			method,
			url: this.#baseUrl + path,
			headers: {authorization: `Bearer ${this.#key}`},
			...(body === undefined ? {} : {body}),
			timeoutMilliseconds,
		});
	}
}
