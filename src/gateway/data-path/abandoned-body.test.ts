import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

/** Far more than the rest of a short body takes, and less than the idle timeout of endpoints. */
const timeoutMilliseconds = 3000;
const request = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', connection: 'close',
	}, body: 'x',
});

test('the connection of a rejection whose body stalls is closed', async () => {
	// Guards against leaked connections. An endpoint rejects a request and stalls within the body of the rejection, while the
	// caller gets its answer from another endpoint. If the rest is drained without a timeout, the connection stays open until
	// the endpoint closes it, and each further rejection leaks one more, until the endpoint accepts no new ones.
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind: 'idempotent'})]})).start();
	let stalled: Socket | undefined;
	const play = (incoming: IncomingMessage, response: ServerResponse): void => {
		if (stalled === undefined) {
			stalled = incoming.socket;
			response.writeHead(503, {...sealedHeaders(incoming), [names.notExecuted]: '1', 'content-length': '100'});
			response.write('full');
			return;
		}

		answerSealed(incoming, response, {body: 'whole'});
	};

	await gateway.addEndpoint(play);
	await gateway.addEndpoint(play);
	const answer = await exchangeRaw(gateway.address, request);
	assert.ok(answer.endsWith('whole'), answer);
	const isClosed = stalled!.destroyed || await Promise.race([
		once(stalled!, 'close').then(() => true),
		new Promise<boolean>(resolve => {
			setTimeout(() => {
				resolve(false);
			}, timeoutMilliseconds);
		}),
	]);
	await gateway.close();
	assert.equal(isClosed, true);
});
