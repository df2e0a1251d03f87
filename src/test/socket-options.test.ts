import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {test} from 'node:test';
import {runGateway} from '../gateway/run-gateway.js';

test('no library of the gateway sets socket options, such as TCP_USER_TIMEOUT, which would decide when keep-alive probes give up', () => {
	const {sharedObjects} = process.report.getReport() as unknown as {sharedObjects: string[]};
	const addons = sharedObjects.filter(file => file.endsWith('.node'));
	assert.equal(typeof runGateway, 'function', 'the libraries are loaded');
	assert.ok(sharedObjects.length > 0);
	assert.deepEqual(addons.filter(file => readFileSync(file).includes('setsockopt')), []);
});

test('no module relies on keep-alive probes to notice that a peer is gone', () => {
	const modules = readdirSync('src', {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'));
	assert.ok(modules.length > 0);
	assert.deepEqual(modules.filter(file => readFileSync(`src/${file}`, 'utf8').includes('setKeepAlive(')), []);
});
