import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {test} from 'node:test';
import {probeConnection} from './probe-connection.js';

test('an endpoint that resets a connection at once, as a full one does, is not taken for unreachable', async context => {
	const server = createServer(socket => {
		socket.resetAndDestroy();
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
	});
	assert.equal(await probeConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`), 'accepted');
});
