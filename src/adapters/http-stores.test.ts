/** Tests the HTTP clients for the object store and the weight store against their stand-ins. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {createObjectStoreStandIn} from '../stand-in/object-store-stand-in.js';
import {startStandIn} from '../stand-in/stand-in-server.js';
import {createWeightStoreStandIn} from '../stand-in/weight-store-stand-in.js';
import {connectionEndings, startEndingServer} from '../test/ending-server.js';
import {exchangeJson} from './http-client.js';
import {HttpObjectStore} from './http-object-store.js';
import {HttpWeightStore} from './http-weight-store.js';

const anyPort = {host: '127.0.0.1', port: 0};

test('objects are read as written, under any key, and an absent object is not a failure', async t => {
	const definition = createObjectStoreStandIn();
	const standIn = await startStandIn(definition, anyPort);
	t.after(async () => standIn.close());
	const store = new HttpObjectStore(standIn.address);
	const content = Buffer.from([0, 255, 10, 13]);
	const written = await store.write('snapshots/a b?c', content);
	const read = await store.read('snapshots/a b?c');
	const absent = await store.read('snapshots/none');
	assert.ok(written.isRight());
	assert.deepEqual(read.extract(), content);
	assert.ok(absent.isRight());
	assert.equal(absent.extract(), undefined);
	definition.faults.down = true;
	const failed = await store.read('snapshots/a b?c');
	assert.deepEqual(failed.extract(), {kind: 'unavailable', detail: 'status 503'});
});

test('a write whose answer is lost is a failure, although it took effect', async t => {
	// A failure of the port does not mean that nothing was written: the next read finds the object.
	const definition = createObjectStoreStandIn();
	const standIn = await startStandIn(definition, anyPort);
	t.after(async () => standIn.close());
	const store = new HttpObjectStore(standIn.address);
	definition.faults.loseAnswers = 1;
	const written = await store.write('key', Buffer.from('content'));
	const read = await store.read('key');
	assert.ok(written.isLeft());
	assert.equal(String(read.extract() as Buffer), 'content');
});

test('the weight store lists versions and reports its load; its rate limit and an outage are distinct failures', async t => {
	const definition = createWeightStoreStandIn();
	const standIn = await startStandIn(definition, anyPort);
	t.after(async () => standIn.close());
	const store = new HttpWeightStore(standIn.address);
	for (const version of ['w1', 'w2']) {
		await exchangeJson({
			method: 'PUT', url: `http://${standIn.address}/weights/permit-1/${version}`, body: {bytes: 1000}, timeoutMilliseconds: 1000,
		});
	}

	const versions = await store.versions('permit-1');
	const none = await store.versions('lesson-1');
	const load = await store.load();
	assert.deepEqual(versions.map(found => found.map(({weightVersion}) => weightVersion)).extract(), ['w1', 'w2']);
	assert.deepEqual(none.extract(), []);
	assert.deepEqual(load.extract(), {loading: 0, fullSpeedLoads: 2, bytesPerSecond: 1_000_000_000});
	definition.faults.refuseSeconds = 3;
	const limited = await store.load();
	assert.deepEqual(limited.extract(), {kind: 'rate-limited', retryAfterMilliseconds: 3000});
	definition.faults.refuseSeconds = 0;
	definition.faults.down = true;
	const down = await store.load();
	assert.deepEqual(down.extract(), {kind: 'unavailable', detail: 'status 503'});
});

test('a truncated, unframed object is a failure', async t => {
	// Guards against a reader that uses only the first lines of a stored file: the store sends a head without Content-Length
	// and half of the object, and fails, and the end of the connection is mistaken for the end of the object.
	const outcomes = new Set<string>();
	for (const ending of connectionEndings) {
		const address = await startEndingServer(t, 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nfirst line\nsecond line\n', ending);
		for (let count = 0; count < 100; count++) {
			const read = await new HttpObjectStore(address).read('key');
			outcomes.add(`${ending}: ${read.caseOf({Left: ({kind}) => kind, Right: String})}`);
		}
	}

	assert.deepEqual([...outcomes], connectionEndings.map(ending => `${ending}: unavailable`));
});
