import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {openSocket, rawRequest, readUntil} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

test('an answer with a length whose caller half-closes within it is not ended while its endpoint is silent for a while', async () => {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({timeoutMilliseconds: 8000})]})).start();
	await gateway.addEndpoint(async (incoming, response) => {
		response.writeHead(200, {...sealedHeaders(incoming), 'content-length': 8});
		response.write('half');
		await pause(1600);
		response.end('half');
	});
	const socket = await openSocket(gateway.address);
	socket.write(rawRequest({
		method: 'POST', path: '/', headers: {host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '8000'}, body: 'x',
	}));
	await readUntil(socket, text => text.endsWith('half'));
	let rest = '';
	socket.on('data', bytes => {
		rest += String(bytes);
	});
	socket.end();
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	await gateway.close();
	assert.equal(rest, 'half', JSON.stringify(gateway.lines));
});
