import assert from 'node:assert/strict';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

test('a resumed stream does not state the length of its first answer', async () => {
	// Guards against a caller that reads past the end of its answer, or takes the next answer on its connection for its rest.
	// The first endpoint states a length and fails; another one resumes the stream with events of other lengths. The total
	// differs from the stated length and is not known when the head is sent.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'resumable-stream'})]})).start();
	let isFirst = true;
	const play = (request: IncomingMessage, response: ServerResponse): void => {
		if (isFirst) {
			isFirst = false;
			response.writeHead(200, {...sealedHeaders(request), 'content-length': '200'});
			response.write('id: 1\ndata: a\n\n', () => {
				response.destroy();
			});
			return;
		}

		response.writeHead(200, {...sealedHeaders(request), 'content-length': '15'});
		response.end('id: 2\ndata: b\n\n');
	};

	await gateway.addEndpoint(play);
	await gateway.addEndpoint(play);
	const answer = await exchangeRaw(gateway.address, rawRequest({
		method: 'POST', path: '/', headers: {
			host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
		}, body: 'x',
	}));
	await gateway.close();
	assert.match(answer, /id: 1[\s\S]*id: 2/v);
	assert.ok(!/content-length: 200/iv.test(answer), answer);
	assert.ok(answer.endsWith('\r\n0\r\n\r\n'), answer);
});
