/**
 * The HTTP client for the platform's metadata store, as a table service with a change feed. All rows are in the part with the
 * empty name.
 *
 * A call that times out also closes its connection, because the store sends nothing more on a connection on which an answer
 * was lost.
 */
import {Buffer} from 'node:buffer';
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	describeError, exchangeJson, failedBeforeAnyByte, type JsonAnswer,
} from '../adapters/http-client.js';
import {type ClockedRow, type ClockedTable} from '../ports/clocked-table.js';
import {
	type FeedAnswer, type FeedFailure, type FeedRow, type FollowQuery, type TableFeed,
} from '../ports/table-feed.js';
import {
	type Row, type RowName, type TableFailure, type TableService, type Transaction,
} from '../ports/table-service.js';
import {parseShallowJson} from '../shared/parse-shallow-json.js';
import {type JsonValue} from '../shared/types.js';

/** A row as encoded by the store; `value` is base64. */
type WireRow = {table: string; part: string; key: string; value?: string; ver?: number; deleted?: boolean};
type RowsAnswer = {rows: WireRow[]; ver: number; now_ms: number; has_more?: boolean};
type RowsWithEra = RowsAnswer & {era: number};

/** Counts calls by kind, table and outcome. */
export type CountCall = (call: 'get' | 'feed' | 'tx', table: string, outcome: 'answered' | 'refused' | 'lost') => void;

/**
 * Timeout of a call, in addition to the time that a call to the feed may wait for changes. The store answers within a few
 * milliseconds, or up to sixty times that when it is slow. After this time the answer is treated as lost.
 */
const callTimeoutMilliseconds = 700;
const historyLostStatus = 410;
const conflictStatus = 412;
const notAppliedStatuses: ReadonlySet<number> = new Set([403, 429, 503, 507]);
/** Increases by one when the store is restored from an older copy. */
const eraHeader = 'store-era';

export class PlatformStore implements TableService, TableFeed, ClockedTable {
	readonly #baseUrl: string;
	readonly #count: CountCall;
	#era = 0;

	constructor(address: string, count: CountCall) {
		this.#baseUrl = `http://${address}`;
		this.#count = count;
	}

	get era(): number {
		return this.#era;
	}

	async read(name: RowName): Promise<Either<TableFailure, Row | undefined>> {
		const answer = await this.readClocked(name);
		return answer.map(({row}) => row);
	}

	async readClocked({table, key}: RowName): Promise<Either<TableFailure, ClockedRow>> {
		const query = queryOf({
			table, part: '', from: key, to: `${key}\0`, limit: 1,
		});
		const answer = await this.#get('get', table, `/rows-get?${query}`);
		return answer.map(({rows, now_ms: storeMilliseconds, era}) => ({
			row: rows.map(row => rowOf(row)).find(row => row.key === key), storeMilliseconds, era,
		}));
	}

	async scan({table, prefix, after, limit}: {table: string; prefix: string; after: string; limit: number}): Promise<Either<TableFailure, Row[]>> {
		const from = after > prefix ? `${after}\0` : prefix;
		const answer = await this.#get('get', table, `/rows-get?${queryOf({
			table, part: '', from, limit,
		})}`);
		return answer.map(({rows}) => rows.map(row => rowOf(row)).filter(({key}) => key.startsWith(prefix)));
	}

	async commit({conditions, writes}: Transaction): Promise<Either<TableFailure, void>> {
		const table = [...writes, ...conditions][0]?.table ?? '';
		const body = {
			expected_rev: conditions.map(({table, key, revision}) => ({
				table, part: '', key, ver: revision,
			})),
			puts: writes.filter(({value}) => value !== undefined).map(({table, key, value}) => ({
				table, part: '', key, value: encodeValue(value!),
			})),
			remove: writes.filter(({value}) => value === undefined).map(({table, key}) => ({table, part: '', key})),
		};
		try {
			const answer = await exchangeJson({
				method: 'POST', url: `${this.#baseUrl}/rows-tx`, body, timeoutMilliseconds: callTimeoutMilliseconds,
			});
			this.#noteEra(answer);
			this.#count('tx', table, answer.status === 200 || answer.status === conflictStatus ? 'answered' : 'refused');
			return commitResultOf(answer);
		} catch (error) {
			this.#count('tx', table, 'lost');
			return Left({kind: failedBeforeAnyByte(error) ? 'unavailable' : 'outcome-unknown', detail: describeError(error)});
		}
	}

	async readSnapshot(table: string): Promise<Either<TableFailure, FeedAnswer>> {
		let rows: FeedRow[] = [];
		let first: RowsWithEra | undefined;
		let from = '';
		for (;;) {
			const answer = await this.#get('get', table, `/rows-get?${queryOf({table, part: '', ...(from === '' ? {} : {from})})}`);
			if (answer.isLeft()) {
				return Left(answer.extract());
			}

			const page = answer.unsafeCoerce();
			if (first !== undefined && page.era !== first.era) {
				// The store was restored between two pages, so the earlier pages no longer hold.
				first = undefined;
				rows = [];
				from = '';
				continue;
			}

			rows.push(...page.rows.map(row => feedRowOf(row)));
			// Changes between two pages have a version after the first page's, so a feed that follows from there returns them.
			first ??= page;
			const last = page.rows.at(-1);
			if (!page.has_more || last === undefined) {
				return Right({rows, position: first.ver, era: first.era});
			}

			from = `${last.key}\0`;
		}
	}

	async follow({table, after, waitMilliseconds}: FollowQuery): Promise<Either<FeedFailure, FeedAnswer>> {
		const query = queryOf({table, after, wait_ms: waitMilliseconds});
		const answer = await this.#get('feed', table, `/rows-feed?${query}`, waitMilliseconds);
		return answer
			.map(({rows, ver, era}) => ({rows: rows.map(row => feedRowOf(row)), position: ver, era}))
			.mapLeft(failure => failure.kind === 'unavailable' && failure.detail === `status ${historyLostStatus}` ? {kind: 'history-lost'} : failure);
	}

	async #get(call: 'get' | 'feed', table: string, path: string, waitMilliseconds = 0): Promise<Either<TableFailure, RowsWithEra>> {
		try {
			const answer = await exchangeJson({
				method: 'GET', url: this.#baseUrl + path, timeoutMilliseconds: callTimeoutMilliseconds + waitMilliseconds,
			});
			const {status, body} = answer;
			const era = this.#noteEra(answer);
			this.#count(call, table, status === 200 ? 'answered' : 'refused');
			return status === 200 ? Right({...body as unknown as RowsAnswer, era}) : Left({kind: 'unavailable', detail: `status ${status}`});
		} catch (error) {
			this.#count(call, table, 'lost');
			return Left({kind: 'unavailable', detail: describeError(error)});
		}
	}

	/** Returns the era of an answer. The latest era never decreases, since answers on two connections can arrive out of order. */
	#noteEra({headers}: JsonAnswer): number {
		const era = Number(headers[eraHeader] ?? 0);
		const answerEra = Number.isSafeInteger(era) ? era : 0;
		this.#era = Math.max(this.#era, answerEra);
		return answerEra;
	}
}

function commitResultOf({status, body}: JsonAnswer): Either<TableFailure, void> {
	if (status === 200) {
		return Right(undefined);
	}

	if (status === conflictStatus) {
		return Left({kind: 'conflict', current: (body as unknown as RowsAnswer).rows.map(row => rowOf(row))});
	}

	return Left({kind: notAppliedStatuses.has(status) ? 'unavailable' : 'outcome-unknown', detail: `status ${status}`});
}

function queryOf(parameters: Record<string, string | number>): string {
	return new URLSearchParams(Object.entries(parameters).map(([name, value]): [string, string] => [name, String(value)])).toString();
}

function encodeValue(value: JsonValue): string {
	return Buffer.from(JSON.stringify(value)).toString('base64');
}

function rowOf({table, key, value, ver}: WireRow): Row {
	return {
		table, key, revision: ver ?? 0, value: decodeValue(value) ?? null,
	};
}

function feedRowOf({key, value, deleted, ver}: WireRow): FeedRow {
	return {
		key, content: decodeValue(value), isDeleted: deleted === true, revision: ver ?? Number.POSITIVE_INFINITY,
	};
}

/** Returns `undefined` for bytes that are not JSON, or are nested too deeply, which only other writers store; the reader of the row reports them. */
function decodeValue(value: string | undefined): JsonValue | undefined {
	if (value === undefined) {
		return undefined;
	}

	try {
		return parseShallowJson(Buffer.from(value, 'base64').toString('utf8'));
	} catch {
		return undefined;
	}
}
