/**
 * The HTTP client for the table service: `GET /tables/{table}/rows/{key}`, `GET /tables/{table}/rows?prefix=&after=&limit=`
 * and `POST /transactions`, which answers 204 if it was applied, and 412 with the current rows if a condition does not hold.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type Row, type RowName, type TableFailure, type TableService, type Transaction,
} from '../ports/table-service.js';
import {type JsonValue} from '../shared/types.js';
import {describeError, exchangeJson, failedBeforeAnyByte} from './http-client.js';

const defaultTimeoutMilliseconds = 1500;

export class HttpTableService implements TableService {
	readonly #baseUrl: string;
	readonly #timeoutMilliseconds: number;

	/**
	 * @param address - `IP:port` of the service.
	 * @param timeoutMilliseconds - Timeout of a call, after which its outcome is unknown.
	 */
	constructor(address: string, timeoutMilliseconds = defaultTimeoutMilliseconds) {
		this.#baseUrl = `http://${address}`;
		this.#timeoutMilliseconds = timeoutMilliseconds;
	}

	async read(name: RowName): Promise<Either<TableFailure, Row | undefined>> {
		const path = `/tables/${encodeURIComponent(name.table)}/rows/${encodeURIComponent(name.key)}`;
		return this.#get(path, (status, body) => status === 404 ? undefined : body as Row);
	}

	async scan(query: {table: string; prefix: string; after: string; limit: number}): Promise<Either<TableFailure, Row[]>> {
		const parameters = new URLSearchParams({prefix: query.prefix, after: query.after, limit: String(query.limit)});
		const path = `/tables/${encodeURIComponent(query.table)}/rows?${parameters.toString()}`;
		return this.#get(path, (_status, body) => (body as {rows: Row[]}).rows);
	}

	async commit(transaction: Transaction): Promise<Either<TableFailure, void>> {
		try {
			const answer = await exchangeJson({
				method: 'POST',
				url: `${this.#baseUrl}/transactions`,
				body: transaction,
				timeoutMilliseconds: this.#timeoutMilliseconds,
			});
			return commitResultOf(answer.status, answer.body);
		} catch (error) {
			const kind = failedBeforeAnyByte(error) ? 'unavailable' : 'outcome-unknown';
			return Left({kind, detail: describeError(error)});
		}
	}

	async #get<Value>(path: string, read: (status: number, body: JsonValue | undefined) => Value): Promise<Either<TableFailure, Value>> {
		try {
			const {status, body} = await exchangeJson({
				method: 'GET', url: this.#baseUrl + path, timeoutMilliseconds: this.#timeoutMilliseconds,
			});
			const answered = status === 200 || status === 404;
			return answered ? Right(read(status, body)) : Left({kind: 'unavailable', detail: `status ${status}`});
		} catch (error) {
			return Left({kind: 'unavailable', detail: describeError(error)});
		}
	}
}

function commitResultOf(status: number, body: JsonValue | undefined): Either<TableFailure, void> {
	if (status === 204) {
		return Right(undefined);
	}

	if (status === 412) {
		return Left({kind: 'conflict', current: (body as {current: Row[]}).current});
	}

	// With 503 and 429 the service states that nothing was applied; after any other status the outcome is unknown.
	const kind = status === 503 || status === 429 ? 'unavailable' : 'outcome-unknown';
	return Left({kind, detail: `status ${status}`});
}
