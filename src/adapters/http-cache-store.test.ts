import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {sealOf} from '../protocol/cache/block-seal.js';
import {CacheStoreStandIn} from '../stand-in/cache-store-stand-in.js';
import {startStandIn} from '../stand-in/stand-in-server.js';
import {connectionEndings, startEndingServer} from '../test/ending-server.js';
import {HttpCacheStore} from './http-cache-store.js';

const store = new HttpCacheStore();
const block = {pieceKey: 'key', generation: 'first'};
const content = Buffer.from('state of the curriculum');

test('a block that is unsealed, freed, overwritten or damaged is never read', async context => {
	// The reader knows the generation and the seal of the block. It reads before and after the block is sealed, after a
	// truncated second write of the same generation, after the block is freed, and after its name is reused. Only the read
	// after sealing may return content.
	const standIn = await startStandIn(new CacheStoreStandIn(1000), {host: '127.0.0.1', port: 0});
	context.after(async () => standIn.close());
	const {address} = standIn;
	const seal = sealOf(content);
	const readBlock = async (): Promise<unknown> => {
		const result = await store.read(address, block, seal);
		return result.extract();
	};

	await store.write(address, block, content);
	assert.deepEqual(await readBlock(), {kind: 'absent'});
	await store.seal(address, block, seal);
	assert.deepEqual(await readBlock(), content);
	await store.write(address, block, content.subarray(0, 5));
	assert.deepEqual(await readBlock(), {kind: 'absent'});
	await store.seal(address, block, seal);
	const damaged = await readBlock() as {kind: string};
	assert.equal(damaged.kind, 'damaged');
	await store.free(address, block);
	assert.deepEqual(await readBlock(), {kind: 'absent'});
	const other = Buffer.from('state of another prompt');
	await store.write(address, block, other);
	await store.seal(address, block, sealOf(other));
	assert.deepEqual(await readBlock(), {kind: 'absent'});
});

test('a full store and an unavailable store are distinct failures', async () => {
	const standIn = await startStandIn(new CacheStoreStandIn(10), {host: '127.0.0.1', port: 0});
	const full = await store.write(standIn.address, block, content);
	assert.deepEqual(full.extract(), {kind: 'full'});
	await standIn.close();
	const unavailable = await store.write(standIn.address, block, content);
	assert.equal((unavailable.extract() as {kind: string}).kind, 'unavailable');
});

test('a truncated list of blocks is a failure of the store, and a truncated block is not returned', async context => {
	// Guards against a prompt that is answered with 500 although every engine could serve it. Before a prompt is placed, the
	// store is queried for cached blocks. If the store fails in the middle of a list without Content-Length, the list cannot
	// be parsed as JSON, and the error must become a `Left` of the port instead of reaching the listener.
	const head = 'HTTP/1.1 200 OK\r\nconnection: close\r\n';
	const outcomes = new Set<string>();
	for (const ending of connectionEndings) {
		const half = await startEndingServer(context, `${head}\r\n{"pieces":[{"piece":{`, ending);
		const nothing = await startEndingServer(context, `${head}\r\n`, ending);
		const seal = sealOf(content);
		const sealHead = `x-length: ${seal.length}\r\nx-digest: ${seal.digest}\r\n`;
		const cutBlock = await startEndingServer(context, `${head}${sealHead}\r\n${content.toString().slice(0, 5)}`, ending);
		for (let count = 0; count < 50; count++) {
			for (const address of [half, nothing]) {
				const failureKinds = await Promise.all([store.findBlocks(address, ['key']), store.leastRecentlyUsed(address, 1)]
					.map(async listed => listed.then(answer => (answer.extract() as {kind: string}).kind, (error: unknown) => `threw ${(error as Error).name}`)));
				outcomes.add(failureKinds.join(' '));
			}

			const read = await store.read(cutBlock, block, seal);
			outcomes.add(read.isRight() ? 'truncated block' : 'no block');
		}
	}

	assert.deepEqual([...outcomes], ['unavailable unavailable', 'no block']);
});
