import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {type SlopesData, slopesFile, slopesOf} from '../slopes/slopes-data.js';
import {capacityPage, withTables} from './capacity-page.js';
import {capacityRows} from './capacity-rows.js';

const data = JSON.parse(readFileSync(slopesFile, 'utf8')) as SlopesData;

test('the tables of the capacity page are up to date with the data file', () => {
	const page = readFileSync(capacityPage, 'utf8');
	assert.equal(withTables(page, data), page, 'run `npm run docs:capacity`');
});

test('the slopes of the data file are those computed from its runs', () => {
	assert.deepEqual(structuredClone(slopesOf(data.runs)), data.slopes);
});

test('rows over their bound are not marked as carried, and every named run exists', () => {
	const ids = new Set(data.runs.map(({id}) => id));
	for (const row of capacityRows(data)) {
		assert.ok(row.status === 'not carried yet' || row.value <= row.bound, `${row.role}: ${row.quantity} is ${row.value}, over ${row.bound}`);
		const named = row.runs.match(/\b[a-z]+-\d+\b/gv) ?? [];
		assert.ok(named.length > 0 || row.runs.startsWith('none:'), row.quantity);
		assert.deepEqual(named.filter(id => !ids.has(id)), [], row.quantity);
	}
});
