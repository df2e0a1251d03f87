import assert from 'node:assert/strict';
import {test} from 'node:test';
import {connectionEndings, startEndingServer} from '../test/ending-server.js';
import {exchangeJson} from './http-client.js';
import {HttpModelEngine} from './http-model-engine.js';
import {HttpTableService} from './http-table-service.js';
import {HttpWeightStore} from './http-weight-store.js';

/** Long enough that no call times out on a busy machine. */
const timeoutMilliseconds = 20_000;
const unframedHead = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';

test('an unframed JSON answer that may be truncated is a failure', async t => {
	// Guards against an instance that reads the claim of a booking and finds none, although there is one: the table service
	// sends the head of a 200 without Content-Length and fails, and the empty body is read as "no row". A truncated number
	// is also valid JSON.
	const outcomes = new Set<string>();
	for (const ending of connectionEndings) {
		for (const receivedBody of ['', '12']) {
			const address = await startEndingServer(t, unframedHead + receivedBody, ending);
			const url = `http://${address}/`;
			for (let count = 0; count < 50; count++) {
				const row = await new HttpTableService(address).read({table: 'claims', key: 'booking'});
				const load = await new HttpModelEngine().loadReport(address);
				const weights = await new HttpWeightStore(address).load();
				const answered = await exchangeJson({method: 'GET', url, timeoutMilliseconds}).then(() => true, () => false);
				outcomes.add(JSON.stringify([row.isRight(), load.isRight(), weights.isRight(), answered]));
			}
		}
	}

	assert.deepEqual([...outcomes], ['[false,false,false,false]']);
});

test('a JSON object is complete by its last brace, an empty answer or a number by Content-Length', async t => {
	for (const ending of connectionEndings) {
		const object = await startEndingServer(t, `${unframedHead}{"rows":[{}]}`, ending);
		const empty = await startEndingServer(t, 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n', ending);
		const number = await startEndingServer(t, 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n12', ending);
		for (let count = 0; count < 50; count++) {
			const bodies = await Promise.all([object, empty, number].map(async address => exchangeJson({method: 'GET', url: `http://${address}/`, timeoutMilliseconds})));
			assert.deepEqual(bodies.map(({body}) => body), [{rows: [{}]}, undefined, 12]);
		}
	}
});

test('a truncated JSON object is a failure, however its connection ends', async t => {
	for (const ending of connectionEndings) {
		const address = await startEndingServer(t, `${unframedHead}{"rows":[{}`, ending);
		for (let count = 0; count < 50; count++) {
			await assert.rejects(exchangeJson({method: 'GET', url: `http://${address}/`, timeoutMilliseconds}), SyntaxError);
		}
	}
});
