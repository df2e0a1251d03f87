import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {waitUntil} from '../../test/wait-until.js';
import {HttpEndpointExchanges} from './endpoint-exchange.js';

test('an instance does not fill an endpoint that limits its connections with idle ones', async context => {
	const waiting: ServerResponse[] = [];
	const server = createServer((_request, response) => {
		waiting.push(response);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const exchanges = new HttpEndpointExchanges(() => ({instance: 'one', instances: 2}));
	context.after(() => {
		exchanges.close();
		server.closeAllConnections();
		server.close();
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const answers = Array.from({length: 6}, async (_, number) => exchanges.open({
		address, connectionLimit: 8, method: 'GET', target: '/', rawHeaders: ['host', 'desk.example'], body: Buffer.alloc(0), attemptId: `a${number}`, attemptIdHeader: 'x-attempt-id',
	}).answer);
	await waitUntil(() => waiting.length === 6);
	for (const response of waiting) {
		response.setHeader('keep-alive', 'timeout=30').end('whole');
	}

	for (const answer of await Promise.all(answers)) {
		answer.unsafeCoerce().body.resume();
	}

	const connections = async (): Promise<number> => new Promise(resolve => {
		server.getConnections((_error, count) => {
			resolve(count);
		});
	});
	let open = await connections();
	await waitUntil(() => {
		void connections().then(count => {
			open = count;
		});
		return open <= 2;
	});
	assert.equal(open, 2);
});
