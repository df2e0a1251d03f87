import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {encodeFrame} from '../../peer/framing/frame-codec.js';
import {
	exchangeRaw, openSocket, rawRequest, statusOf,
} from '../../test/raw-http.js';
import {waitUntil} from '../../test/wait-until.js';
import {createTestDaemon} from '../testing/test-daemon.js';

const key = 'key';
const answerMilliseconds = 5000;

test('an instance that shuts down lets the answers that it relays for others finish', async t => {
	// Guards against answers of other instances that end incomplete when their relay stops, well within its grace period.
	const open: ServerResponse[] = [];
	const endpoint = createServer((_incoming, response) => {
		response.write('first');
		open.push(response);
	}).listen(0, '127.0.0.1');
	await once(endpoint, 'listening');
	const address = `127.0.0.1:${(endpoint.address() as AddressInfo).port}`;
	const {daemon, listenReady, listenRelay} = await createTestDaemon(address, {'relay-key': {key}});
	const running = daemon.run();
	let status = 0;
	while (status !== 200) {
		await delay(20);
		status = statusOf(await exchangeRaw(listenReady, rawRequest({method: 'GET', path: '/ready', headers: {connection: 'close'}})).catch(() => ''));
	}

	const socket = await openSocket(listenRelay);
	let received = '';
	socket.on('data', bytes => {
		received += bytes.toString('latin1');
	});
	socket.write(encodeFrame({
		kind: 'open', key, address, remainingMilliseconds: 10_000,
	}));
	await waitUntil(() => received.includes('opened'));
	socket.write(rawRequest({method: 'GET', path: '/'}));
	await waitUntil(() => received.includes('first'));
	const stopped = daemon.stop();
	t.after(async () => {
		await Promise.all([stopped, running]);
		endpoint.closeAllConnections();
		endpoint.close();
	});
	await delay(answerMilliseconds);
	open[0]?.end('last');
	await waitUntil(() => socket.closed || received.includes('last'));
	socket.destroy();
	assert.match(received, /last/v);
});
