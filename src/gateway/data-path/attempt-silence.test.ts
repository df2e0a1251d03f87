import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {sealedHeaders, TestGateway} from '../testing/test-gateway.js';
import {AttemptSilence, type SilenceEnd} from './attempt-silence.js';
import {ownWireNames as names} from './wire-names.js';

test('a silence lasts from the last byte to the next one, and the longest is reported', () => {
	const ends: SilenceEnd[] = [];
	const silence = new AttemptSilence(end => {
		ends.push(end);
	});
	silence.noteBytes(1000);
	silence.noteBytes(1500);
	assert.equal(silence.longestMilliseconds, undefined);
	silence.noteSilent();
	silence.noteSilent();
	silence.noteBytes(2900);
	silence.noteSilent();
	silence.noteEnded(true, 3700);
	silence.noteEnded(false, 9000);
	assert.equal(silence.longestMilliseconds, 1400);
	assert.deepEqual(ends, ['went-on', 'replaced']);
});

test('the log and the metrics show that the endpoint of a complete answer was silent for a while', async () => {
	const route = testRoute({
		kind: 'resumable-stream', carriesPrompt: true, timeoutMilliseconds: 8000, maxAttempts: 1, maxEventGapMilliseconds: 400, objectiveMilliseconds: 2000,
	});
	const gateway = await new TestGateway(testConfiguration({routes: [route]})).start();
	await gateway.addEndpoint(async (incoming, response) => {
		response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
		response.write('id: 1\ndata: one\n\n');
		await pause(1200);
		response.end('id: 2\ndata: two\n\n');
	});
	const answer = await exchangeRaw(gateway.address, rawRequest({
		method: 'POST', path: '/', headers: {
			host: 'quay.example',
			[names.attemptId]: 'a1',
			[names.deadline]: '8000',
			[names.model]: 'lease',
			[names.tokenCount]: '100,10',
			[names.promptParts]: 'ab:100',
			connection: 'close',
		}, body: 'x',
	}));
	await gateway.close();
	assert.ok(answer.endsWith('0\r\n\r\n'), answer);
	const line = gateway.lines.find(({kind}) => kind === 'request-ended');
	assert.equal(line?.outcome, 'whole');
	assert.ok(Number(line?.silentMilliseconds) >= 1100, JSON.stringify(line));
	const {values} = await gateway.context.metrics.silences.get();
	assert.deepEqual(values.map(({labels, value}) => [labels.end, value]), [['went-on', 1]]);
});
