import assert from 'node:assert/strict';
import {test} from 'node:test';
import {readWorkload} from '../workload/read-workload.js';
import {comparePolicies, type Progress} from './compare-policies.js';
import {formatReport} from './format-report.js';
import {formatTable} from './format-table.js';

const workload = {...readWorkload('workloads/split.yaml'), seconds: 20, warmUpSeconds: 5};
const comparison = {
	workload, policies: ['least-loaded', 'chosen'], seeds: [1, 2], loadFactor: 1,
};

test('equal seeds give equal figures, and the progress of every run is reported', async () => {
	const reported: Progress[] = [];
	const first = await comparePolicies(comparison, progress => {
		reported.push(progress);
	}, new AbortController().signal);
	const second = await comparePolicies(comparison, () => undefined, new AbortController().signal);
	assert.deepEqual(second, first);
	assert.deepEqual(reported.map(({done, of}) => `${done}/${of}`), ['1/4', '2/4', '3/4', '4/4']);
	assert.match(formatTable(first), /urgent p95 .* ± /v);
	assert.match(formatReport(first), /<svg/v);
});

test('a comparison that is stopped returns the finished runs and is marked as partial', async () => {
	const stop = new AbortController();
	const result = await comparePolicies(comparison, ({done}) => {
		if (done === 3) {
			stop.abort();
		}
	}, stop.signal);
	assert.equal(result.isPartial, true);
	assert.deepEqual(result.results.map(({seeds}) => seeds), [[1, 2], [1]]);
	assert.match(formatTable(result), /PARTIAL/v);
});
