import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {MemoryTable} from '../../test/memory-table.js';
import {waitUntil} from '../../test/wait-until.js';
import {EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {createStreamOrigins, type CreatedStreamOrigins} from './create-stream-origins.js';
import {streamKey} from './stream-origin.js';

const origin = {service: 'chat', softwareVersion: '2'};

async function freeAddress(): Promise<string> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${port}`;
}

/** The only version of the service, while it has one. */
type Versions = {sole: string | undefined};
type InstanceOptions = {dataCentre?: string; versions?: Versions};

const severalVersions: Versions = {sole: undefined};

type Instance = CreatedStreamOrigins & {address: string; end: () => Promise<void>};

/** An instance, of a service that has two versions unless one is given. */
async function startInstance(context: TestContext, store: MemoryTable, instance: string, {dataCentre = 'split', versions = severalVersions}: InstanceOptions = {}): Promise<Instance> {
	const address = await freeAddress();
	const created = createStreamOrigins({
		clock: systemMomentClock,
		address,
		dataCentre,
		instance,
		store,
		key: () => 'secret',
		isStopping: () => false,
		soleVersion: () => versions.sole,
		hasSeveralVersions: () => versions.sole === undefined,
		endpoints: new EndpointRegistry(),
	});
	const stop = new AbortController();
	const running = Promise.all(created.children.map(async child => child.run(stop.signal)));
	const end = async (): Promise<void> => {
		stop.abort();
		await running;
	};

	context.after(end);
	return {...created, address, end};
}

async function startInstances(context: TestContext, store: MemoryTable, names: readonly string[]): Promise<Instance[]> {
	const instances = await Promise.all(names.map(async name => startInstance(context, store, name)));
	const addresses = instances.map(({address}) => address);
	for (const {follower} of instances) {
		follower.applyStreamPeers({digest: addresses.join(' '), addresses});
	}

	return instances;
}

async function storedRows(store: MemoryTable) {
	const rows = await store.scan({
		table: 'stream-origins', prefix: '', after: '', limit: 1000,
	});
	return rows.orDefault([]);
}

test('streams are found again after all instances that knew them have ended at once, also in another data centre', async context => {
	// Guards against refusing every stream that is taken up after a data centre has lost its power.
	const store = new MemoryTable();
	const instances = await startInstances(context, store, ['e1', 'e2', 'e3']);
	const keys = Array.from({length: 30}, (_, index) => streamKey('quarry', `a${index}`));
	for (const [index, key] of keys.entries()) {
		instances[index % 3]!.streamOrigins.record(key, origin, 60_000);
	}

	await waitUntil(() => instances.every(({streamOrigins}) => streamOrigins.size > 0));
	await new Promise(resolve => {
		setTimeout(resolve, 700);
	});
	await Promise.all(instances.map(async instance => instance.end()));
	const rows = await storedRows(store);
	const writers = new Set(rows.map(({key}) => key.split('/')[1]));
	assert.equal(writers.size, 1, 'one instance writes for its data centre');
	for (const dataCentre of ['split', 'quay']) {
		const started = await startInstance(context, store, 'e4', {dataCentre});
		for (const key of keys) {
			assert.deepEqual(await started.streamOrigins.findOrigin(key, 'chat'), {kind: 'known', origin});
		}
	}
});

test('an instance alone in its data centre writes the streams that began before the second version was listed', async context => {
	// Guards against refusing them after that instance was killed.
	const store = new MemoryTable();
	const versions = {sole: '2' as string | undefined};
	const alone = await startInstance(context, store, 'e1', {versions});
	const key = streamKey('quarry', 'a1');
	alone.streamOrigins.record(key, origin, 60_000);
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	assert.deepEqual(await storedRows(store), []);
	versions.sole = undefined;
	alone.streamOrigins.record(streamKey('quarry', 'a2'), origin, 60_000);
	await new Promise(resolve => {
		setTimeout(resolve, 800);
	});
	await alone.end();
	const started = await startInstance(context, store, 'e1');
	assert.deepEqual(await started.streamOrigins.findOrigin(key, 'chat'), {kind: 'known', origin});
});

test('a stream that nobody knows is refused with the time of the next read, and while the store is away as before', async context => {
	const store = new MemoryTable();
	const instance = await startInstance(context, store, 'e1');
	store.down = true;
	assert.deepEqual(await instance.streamOrigins.findOrigin(streamKey('quarry', 'a1'), 'chat'), {kind: 'unknown'});
	store.down = false;
	const other = await startInstance(context, store, 'e2');
	assert.deepEqual(await other.streamOrigins.findOrigin(streamKey('quarry', 'a1'), 'chat'), {kind: 'unknown', retryAfterMilliseconds: 1000});
});

test('a caller finds only streams of its own workspace in the store', async context => {
	const store = new MemoryTable();
	const [first] = await startInstances(context, store, ['e1']);
	first!.streamOrigins.record(streamKey('quarry', 'a1'), origin, 60_000);
	await new Promise(resolve => {
		setTimeout(resolve, 500);
	});
	const other = await startInstance(context, store, 'e2');
	const [foreign, own] = [await other.streamOrigins.findOrigin(streamKey('harbour', 'a1'), 'chat'), await other.streamOrigins.findOrigin(streamKey('quarry', 'a1'), 'chat')];
	assert.deepEqual([foreign.kind, own.kind], ['unknown', 'known']);
});
