import assert from 'node:assert/strict';
import {once} from 'node:events';
import {request as sendRequest, type IncomingMessage} from 'node:http';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
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
	const separator = gateway.address.lastIndexOf(':');
	const outgoing = sendRequest({
		host: gateway.address.slice(0, separator), port: Number(gateway.address.slice(separator + 1)), agent: false, method: 'POST', headers: {
			host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '8000',
		},
	});
	outgoing.end('x');
	const [incoming] = await once(outgoing, 'response') as [IncomingMessage];
	let body = '';
	incoming.on('data', bytes => {
		body += String(bytes);
	});
	await once(incoming, 'data');
	assert.equal(body, 'half');
	incoming.socket.end();
	await new Promise(resolve => {
		incoming.once('close', resolve);
	});
	await gateway.close();
	assert.equal(body, 'halfhalf', JSON.stringify(gateway.lines));
	assert.equal(incoming.complete, true);
});
