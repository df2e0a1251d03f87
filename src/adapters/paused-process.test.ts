import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test, type TestContext} from 'node:test';
import {Worker} from 'node:worker_threads';
import {blockEventLoop} from '../test/separate-callers.js';
import {exchangeJson} from './http-client.js';
import {HttpTableService} from './http-table-service.js';

const timeoutMilliseconds = 2000;

/** A service that reports each request to this thread, and answers it unless its path is `/silent`. */
const serviceProgram = `
	const {parentPort, workerData: answered} = require('node:worker_threads');
	const {createServer} = require('node:http');
	const server = createServer((request, response) => {
		parentPort.postMessage('asked');
		if (request.url !== '/silent') {
			parentPort.once('message', () => response.end('{"rows":[]}', () => {
				Atomics.store(answered, 0, 1);
				Atomics.notify(answered, 0);
			}));
		}
	}).listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

async function startService(t: TestContext): Promise<{service: Worker; port: number; answered: Int32Array}> {
	const answered = new Int32Array(new SharedArrayBuffer(4));
	const service = new Worker(serviceProgram, {eval: true, workerData: answered});
	t.after(async () => service.terminate());
	const [port] = await once(service, 'message') as [number];
	return {service, port, answered};
}

test('a process that was paused reads the answers that arrived meanwhile', async t => {
	// An entry that has just started is paused for longer than the time limit of its first poll, and the answer lies unread in
	// its socket. Guards against dropping that answer: the entry would poll again only after the backoff, and a change would be
	// late there although the table answered in time.
	const {service, port, answered} = await startService(t);
	const asked = once(service, 'message');
	const answer = new HttpTableService(`127.0.0.1:${port}`, timeoutMilliseconds).scan({
		table: 'configuration', prefix: '', after: '', limit: 1,
	});
	await asked;
	service.postMessage('answer');
	Atomics.wait(answered, 0, 0);
	blockEventLoop(timeoutMilliseconds);
	const rows = await answer;
	assert.deepEqual(rows.extract(), []);
});

test('a call without an answer ends after a pause', async t => {
	const {service, port} = await startService(t);
	const asked = once(service, 'message');
	const answer = exchangeJson({method: 'GET', url: `http://127.0.0.1:${port}/silent`, timeoutMilliseconds});
	const ended = assert.rejects(answer, {name: 'TimeoutError'});
	await asked;
	blockEventLoop(timeoutMilliseconds);
	await ended;
});
