import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {encodeFrame} from '../peer/framing/frame-codec.js';
import {MemoryFeedTable} from '../test/memory-feed-table.js';
import {PlatformStore} from './platform-store.js';
import {createPlatformStoreStandIn} from './platform-store-stand-in.js';

test('calls are counted by kind, table and outcome', async context => {
	const server = createPlatformStoreStandIn(new MemoryFeedTable(), () => true);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.closeAllConnections();
		server.close();
	});
	const calls: string[] = [];
	const store = new PlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`, (...call) => {
		calls.push(call.join(' '));
	});
	await store.commit({conditions: [], writes: [{table: 'duties', key: 'weights', value: 1}]});
	await store.readSnapshot('servers');
	await store.follow({table: 'duties', after: 0, waitMilliseconds: 0});
	await store.read({table: 'leases', key: 'hub'});
	assert.deepEqual(calls, ['tx duties answered', 'get servers answered', 'feed duties answered', 'get leases answered']);
});

test('a row that another writer has nested thousands of times is unreadable, and the others can be relayed', async context => {
	// Guards against a coordinator that ends the connection of each instance to which it would relay such a row.
	const encode = (text: string): string => Buffer.from(text).toString('base64');
	const rows = [
		{
			table: 'servers', part: '', key: 'deep', value: encode('['.repeat(20_000) + ']'.repeat(20_000)), ver: 1,
		},
		{
			table: 'servers', part: '', key: 'field', value: encode(`{"models":${'{"a":'.repeat(5000)}1${'}'.repeat(5000)}}`), ver: 2,
		},
		{
			table: 'servers', part: '', key: 'sound', value: encode('{"slots":8}'), ver: 3,
		},
	];
	const server = createServer((_request, response) => {
		response.end(JSON.stringify({rows, ver: 3, now_ms: 1}));
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.closeAllConnections();
		server.close();
	});
	const store = new PlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`, () => undefined);
	const snapshot = await store.readSnapshot('servers');
	const read = snapshot.unsafeCoerce();
	assert.deepEqual(read.rows.map(({key, content}) => [key, content]), [['deep', undefined], ['field', undefined], ['sound', {slots: 8}]]);
	encodeFrame({rows: read.rows});
});
