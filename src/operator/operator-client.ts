/** A client for the operators' HTTP interface of one entry. */
import {
	describeError, exchangeJson, failedBeforeAnyByte, type JsonAnswer,
} from '../adapters/http-client.js';
import {type ProposalFinding} from '../declaration/check-proposal.js';
import {type ConfigurationProposal, type ConfigurationHead} from '../protocol/configuration/configuration-table.js';
import {type ConfigurationState} from '../protocol/configuration/configuration-state.js';
import {
	type ConfigurationChange, type DrainItem, type JsonValue, type LimitItem, type RuleItem, type ServiceItem, type WorkspaceItem,
} from '../shared/types.js';

const timeoutMilliseconds = 10_000;

/** The answer to a proposal. */
export type ProposalAnswer
	= | {kind: 'accepted'; change: ConfigurationChange}
		| {kind: 'overtaken'; since: ConfigurationChange[]}
		| {kind: 'bad-proposal'; findings: ProposalFinding[]}
		| {kind: 'unavailable' | 'outcome-unknown'; detail: string};

/** Thrown when a request fails or the entry refuses it. */
export class OperatorClientError extends Error {
	override readonly name = 'OperatorClientError';
}

/** The configuration as an entry sends it. */
type ConfigurationBody = {
	version: number;
	digest: string;
	isNewest: boolean;
	workspaces: WorkspaceItem[];
	services: ServiceItem[];
	rules: RuleItem[];
	limits: LimitItem[];
	drains: DrainItem[];
};

export class OperatorClient {
	readonly address: string;
	readonly #key: string;

	/**
	 * @param address - `IP:port` of an entry's operators' listener.
	 * @param key - The operators' key.
	 */
	constructor(address: string, key: string) {
		this.address = address;
		this.#key = key;
	}

	/** Returns the newest accepted configuration, or the one in force at this entry while the table service is unavailable. */
	async configuration(): Promise<ConfigurationState> {
		const body = await this.#get('/operator/configuration?newest=true') as unknown as ConfigurationBody;
		return {
			version: body.version,
			digest: body.digest,
			workspaces: indexByName(body.workspaces),
			services: indexByName(body.services),
			rules: indexByName(body.rules),
			limits: indexByName(body.limits),
			drains: indexByName(body.drains),
		};
	}

	/** Returns the newest accepted version. */
	async head(): Promise<ConfigurationHead> {
		return await this.#get('/operator/configuration/head') as unknown as ConfigurationHead;
	}

	/**
	 * Returns the accepted changes after a version, oldest first.
	 *
	 * @param after - The version before the first one to return; 0 for all.
	 * @param last - The last version to return; all if absent.
	 */
	async changes(after = 0, last = Number.POSITIVE_INFINITY): Promise<ConfigurationChange[]> {
		const all: ConfigurationChange[] = [];
		for (let from = after; from < last;) {
			const body = await this.#get(`/operator/configuration/changes?after=${from}`) as unknown as {changes: ConfigurationChange[]};
			if (body.changes.length === 0) {
				break;
			}

			all.push(...body.changes);
			from = body.changes.at(-1)!.version;
		}

		return all.filter(({version}) => version <= last);
	}

	/** Proposes a change of the configuration. */
	async propose(proposal: ConfigurationProposal): Promise<ProposalAnswer> {
		let answer: JsonAnswer;
		try {
			answer = await this.exchange('POST', '/operator/configuration/changes', proposal);
		} catch (error) {
			// Once a byte was sent, the change may have been accepted although its answer is missing. Reporting it as not
			// accepted would lead an operator to apply it twice.
			const {cause} = (error as OperatorClientError);
			if (cause === undefined || failedBeforeAnyByte(cause)) {
				throw error;
			}

			return {kind: 'outcome-unknown', detail: (error as Error).message};
		}

		const {status, body} = answer;
		if (status === 201) {
			return {kind: 'accepted', change: body as unknown as ConfigurationChange};
		}

		if (body !== undefined && 'kind' in (body as Record<string, JsonValue>)) {
			return body as unknown as ProposalAnswer;
		}

		throw new OperatorClientError(`the entry answered ${status}`);
	}

	/** Sends a request to the entry and returns the answer with any status but 401: a rejected key is an error. */
	async exchange(method: 'GET' | 'POST', path: string, body?: JsonValue): Promise<JsonAnswer> {
		const answer = await this.#send(method, path, body);
		if (answer.status === 401) {
			throw new OperatorClientError(`${this.address} does not accept the operators' key`);
		}

		return answer;
	}

	async #send(method: 'GET' | 'POST', path: string, body: JsonValue | undefined): Promise<JsonAnswer> {
		try {
			return await exchangeJson({
				method,
				url: `http://${this.address}${path}`,
				headers: {authorization: `Bearer ${this.#key}`},
				...(body === undefined ? {} : {body}),
				timeoutMilliseconds,
			});
		} catch (error) {
			throw new OperatorClientError(`the request to ${this.address} failed: ${describeError(error)}`, {cause: error});
		}
	}

	async #get(path: string): Promise<JsonValue> {
		const {status, body} = await this.exchange('GET', path);
		if (status !== 200 || body === undefined) {
			throw new OperatorClientError(status === 503 ? `${path}: the platform's table service cannot be read` : `${path}: the entry answered ${status}`);
		}

		return body;
	}
}

function indexByName<Item extends {name: string}>(items: readonly Item[]): Map<string, Item> {
	return new Map(items.map(item => [item.name, item]));
}
