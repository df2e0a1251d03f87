import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type IncomingMessage} from 'node:http';
import {test} from 'node:test';
import {exchangeRaw, rawRequest, statusOf} from '../../test/raw-http.js';
import {WeightTargets} from '../weights/weight-targets.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {ownWireNames as names} from './wire-names.js';

const boundMilliseconds = 1600;
const request = rawRequest({
	method: 'POST', path: '/', headers: {
		host: 'quay.example',
		[names.attemptId]: 'a1',
		[names.deadline]: '5000',
		[names.model]: 'lease',
		[names.tokenCount]: '100,10',
		[names.promptParts]: 'ab:100',
		connection: 'close',
	}, body: 'x',
});

test('a prompt that its engine has not begun when the grant of older weights ends is cancelled', async () => {
	// New weights were named, but the prompt was sent to an engine with the old ones, which was expected to begin in time. The
	// engine is delayed and would begin after the end of the grant, so the caller would get an answer from weights that are no
	// longer valid. The gateway closes the connection before that and sends the prompt to an engine with the new weights.
	const route = testRoute({kind: 'resumable-stream', carriesPrompt: true, timeoutMilliseconds: 5000});
	const gateway = await new TestGateway(testConfiguration({routes: [route]})).start();
	Object.assign(gateway.context, {weightTargets: new WeightTargets(boundMilliseconds)});
	const namedAt = gateway.context.clock.moment();
	gateway.context.weightTargets.add({model: 'lease', version: 2}, {observedAt: namedAt, namedNotBefore: namedAt});
	// The engine goes on serving other prompts.
	gateway.context.placement.isUnresponsive = () => false;
	let hold: (incoming: IncomingMessage) => void = () => undefined;
	const holding = new Promise<IncomingMessage>(resolve => {
		hold = resolve;
	});
	await gateway.addEndpoint(incoming => {
		hold(incoming);
	}, {weightVersions: new Map([['lease', 1]])});
	const answering = exchangeRaw(gateway.address, request);
	const held = await holding;
	const closed = once(held.socket, 'close').then(() => gateway.context.clock.moment().steady - namedAt.steady);
	await gateway.addEndpoint((incoming, response) => {
		response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
		response.end('id: 1\ndata: new\n\n');
	}, {weightVersions: new Map([['lease', 2]])});
	const answer = await answering;
	const closedAfterMilliseconds = await closed;
	await gateway.close();
	assert.equal(statusOf(answer), 200);
	assert.match(answer, /data: new/v);
	assert.ok(closedAfterMilliseconds < boundMilliseconds, `closed ${closedAfterMilliseconds} ms after the naming`);
	assert.equal(gateway.lines.find(({kind}) => kind === 'try-failed')?.detail, 'cancelled before it began: the grant of older weights ended');
});
