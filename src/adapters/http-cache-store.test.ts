import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {sealOf} from '../protocol/cache/block-seal.js';
import {CacheStoreStandIn} from '../stand-in/cache-store-stand-in.js';
import {startStandIn} from '../stand-in/stand-in-server.js';
import {connectionEndings, startEndingServer} from '../test/ending-server.js';
import {HttpCacheStore} from './http-cache-store.js';

const store = new HttpCacheStore();
const piece = {pieceKey: 'key', generation: 'first'};
const content = Buffer.from('state of the curriculum');

test('a piece that is not sealed, freed, reused or damaged is never read', async context => {
	// The reader holds a hint with generation and seal. It reads before the seal, behind it, behind a half-written second
	// write under the same generation, behind the freeing, and behind a reuse. Only the sealed bytes may come.
	const standIn = await startStandIn(new CacheStoreStandIn(1000), {host: '127.0.0.1', port: 0});
	context.after(async () => standIn.close());
	const {address} = standIn;
	const seal = sealOf(content);
	const readPiece = async (): Promise<unknown> => {
		const result = await store.read(address, piece, seal);
		return result.extract();
	};

	await store.write(address, piece, content);
	assert.deepEqual(await readPiece(), {kind: 'absent'});
	await store.seal(address, piece, seal);
	assert.deepEqual(await readPiece(), content);
	await store.write(address, piece, content.subarray(0, 5));
	assert.deepEqual(await readPiece(), {kind: 'absent'});
	await store.seal(address, piece, seal);
	const damaged = await readPiece() as {kind: string};
	assert.equal(damaged.kind, 'damaged');
	await store.free(address, piece);
	assert.deepEqual(await readPiece(), {kind: 'absent'});
	const other = Buffer.from('state of another prompt');
	await store.write(address, piece, other);
	await store.seal(address, piece, sealOf(other));
	assert.deepEqual(await readPiece(), {kind: 'absent'});
});

test('a full store and a dead one are told apart', async () => {
	const standIn = await startStandIn(new CacheStoreStandIn(10), {host: '127.0.0.1', port: 0});
	const full = await store.write(standIn.address, piece, content);
	assert.deepEqual(full.extract(), {kind: 'full'});
	await standIn.close();
	const dead = await store.write(standIn.address, piece, content);
	assert.equal((dead.extract() as {kind: string}).kind, 'unavailable');
});

test('a list of pieces that breaks off is a failure of the store, and half of a piece is none', async context => {
	// A prompt is answered with 500 although every engine could serve it. Before it is placed, its store is asked for kept
	// pieces; the store dies in the middle of a list without a length. Half of the list is no JSON, and the error of reading
	// it went past the failure that the port promises, up to the listener.
	const head = 'HTTP/1.1 200 OK\r\nconnection: close\r\n';
	const outcomes = new Set<string>();
	for (const ending of connectionEndings) {
		const half = await startEndingServer(context, `${head}\r\n{"pieces":[{"piece":{`, ending);
		const nothing = await startEndingServer(context, `${head}\r\n`, ending);
		const seal = sealOf(content);
		const sealHead = `x-length: ${seal.length}\r\nx-digest: ${seal.digest}\r\n`;
		const cutPiece = await startEndingServer(context, `${head}${sealHead}\r\n${content.toString().slice(0, 5)}`, ending);
		for (let count = 0; count < 50; count++) {
			for (const address of [half, nothing]) {
				const asked = await Promise.all([store.findBlocks(address, ['key']), store.leastRecentlyUsed(address, 1)]
					.map(async listed => listed.then(answer => (answer.extract() as {kind: string}).kind, (error: unknown) => `threw ${(error as Error).name}`)));
				outcomes.add(asked.join(' '));
			}

			const read = await store.read(cutPiece, piece, seal);
			outcomes.add(read.isRight() ? 'half of a piece' : 'no piece');
		}
	}

	assert.deepEqual([...outcomes], ['unavailable unavailable', 'no piece']);
});
