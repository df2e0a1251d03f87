import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
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
