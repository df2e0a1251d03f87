import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {GatewayMetrics} from './gateway-metrics.js';

test('every metric is served as text and documented in docs/OPERATIONS.md', async () => {
	const {registry} = new GatewayMetrics();
	const page = readFileSync('docs/OPERATIONS.md', 'utf8');
	const names = registry.getMetricsAsArray().map(({name}) => name);
	const served = await registry.metrics();
	assert.ok(names.length >= 8);
	assert.deepEqual(names.filter(name => !page.includes(`\`${name}\``)), []);
	assert.deepEqual(names.filter(name => !served.includes(`# HELP ${name} `)), []);
});
