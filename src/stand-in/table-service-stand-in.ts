/** Stands in for the platform's transactional table service, with the paths that `HttpTableService` uses. */
import {
	getQuery, getRouterParam, H3, HTTPError, readBody,
} from 'h3';
import {type Row, type Transaction} from '../ports/table-service.js';
import {noFaults, type StandInDefinition} from './stand-in-server.js';

const defaultScanLimit = 1000;

export function createTableServiceStandIn(): StandInDefinition {
	const app = new H3();
	const faults = {...noFaults};
	const tables = new Map<string, Map<string, Row>>();
	const counts = {reads: 0, writes: 0, conflicts: 0};

	const tableOf = (name: string): Map<string, Row> => {
		const table = tables.get(name) ?? new Map<string, Row>();
		tables.set(name, table);
		return table;
	};

	app.get('/tables/:table/rows/:key', event => {
		counts.reads++;
		const row = tableOf(parameterOf(event, 'table')).get(parameterOf(event, 'key'));
		if (row === undefined) {
			throw new HTTPError({status: 404, message: 'no such row'});
		}

		return row;
	});
	app.get('/tables/:table/rows', event => {
		counts.reads++;
		const query = getQuery(event);
		const prefix = String(query.prefix ?? '');
		const after = String(query.after ?? '');
		const limit = Number(query.limit ?? defaultScanLimit);
		const rows = [...tableOf(parameterOf(event, 'table')).values()]
			.filter(row => row.key.startsWith(prefix) && row.key > after)
			.toSorted((left, right) => left.key < right.key ? -1 : 1);
		return {rows: rows.slice(0, limit)};
	});
	app.post('/transactions', async event => {
		const {conditions, writes} = (await readBody<Transaction>(event))!;
		const failing = conditions.filter(condition => (tableOf(condition.table).get(condition.key)?.revision ?? 0) !== condition.revision);
		if (failing.length > 0) {
			counts.conflicts++;
			const current = failing
				.map(condition => tableOf(condition.table).get(condition.key))
				.filter(row => row !== undefined);
			event.res.status = 412;
			return {current};
		}

		for (const {table, key, value} of writes) {
			counts.writes++;
			const rows = tableOf(table);
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, {
					table, key, value, revision: (rows.get(key)?.revision ?? 0) + 1,
				});
			}
		}

		event.res.status = 204;
		return '';
	});
	return {app, faults, counts: () => ({...counts})};
}

function parameterOf(event: Parameters<typeof getRouterParam>[0], name: string): string {
	return decodeURIComponent(getRouterParam(event, name) ?? '');
}
