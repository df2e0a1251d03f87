/** Serves an in-memory table over the protocol of the platform's metadata store, for checks over real gateway processes. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {json} from 'node:stream/consumers';
import {type FeedRow} from '../ports/table-feed.js';
import {type Row} from '../ports/table-service.js';
import {type JsonValue} from '../shared/types.js';
import {type MemoryFeedTable} from '../test/memory-feed-table.js';

type WireName = {table: string; key: string};
type WireTransaction = {expected_rev?: Array<WireName & {ver: number}>; puts?: Array<WireName & {value: string}>; remove?: WireName[]};

const defaultLimit = 500;

/**
 * Creates the server.
 *
 * @param table - The rows that it serves.
 * @param isAvailable - While it returns false, calls get no answer.
 */
export function createPlatformStoreStandIn(table: MemoryFeedTable, isAvailable: () => boolean): Server {
	return createServer((request, response) => {
		if (isAvailable()) {
			void handle(table, request, response);
		}
	});
}

async function handle(table: MemoryFeedTable, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const url = new URL(request.url ?? '/', 'http://store');
	const {status, body} = await answerTo(table, url, request);
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify({ver: table.position, now_ms: performance.now(), ...body}));
}

async function answerTo(table: MemoryFeedTable, url: URL, request: IncomingMessage): Promise<{status: number; body: Record<string, JsonValue>}> {
	const name = url.searchParams.get('table') ?? '';
	switch (url.pathname) {
		case '/rows-tx': {
			const current = table.commit(transactionOf(await json(request) as WireTransaction));
			return current === undefined ? {status: 200, body: {}} : {status: 412, body: {rows: current.map(row => wireRowOf(row))}};
		}

		case '/rows-get': {
			const limit = Number(url.searchParams.get('limit') ?? defaultLimit);
			const rows = table.range(name, url.searchParams.get('from') ?? '', url.searchParams.get('to') ?? undefined);
			return {status: 200, body: {rows: rows.slice(0, limit).map(row => wireRowOf(row)), has_more: rows.length > limit}};
		}

		case '/rows-feed': {
			const {rows, position} = await table.changesAfter(name, Number(url.searchParams.get('after')), Number(url.searchParams.get('wait_ms') ?? 0));
			return {status: 200, body: {rows: rows.map(row => wireChangeOf(name, row)), ver: position}};
		}

		default: {
			return {status: 404, body: {}};
		}
	}
}

function transactionOf({expected_rev: conditions = [], puts = [], remove = []}: WireTransaction): Parameters<MemoryFeedTable['commit']>[0] {
	return {
		conditions: conditions.map(({table, key, ver}) => ({table, key, revision: ver})),
		writes: [
			...puts.map(({table, key, value}) => ({table, key, value: JSON.parse(Buffer.from(value, 'base64').toString('utf8')) as JsonValue})),
			...remove.map(({table, key}) => ({table, key})),
		],
	};
}

function wireRowOf({table, key, revision, value}: Row): Record<string, JsonValue> {
	return {
		table, part: '', key, value: encode(value), ver: revision,
	};
}

function wireChangeOf(table: string, {key, content, isDeleted, revision}: FeedRow): Record<string, JsonValue> {
	return {
		table, part: '', key, ver: revision, ...(isDeleted ? {deleted: true} : {value: encode(content ?? null)}),
	};
}

function encode(value: JsonValue): string {
	return Buffer.from(JSON.stringify(value)).toString('base64');
}
