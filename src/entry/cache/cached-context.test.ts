/** Cached context over HTTP with stand-ins of engines and a store, in one process. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {type TestContext, test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {HttpCacheStore} from '../../adapters/http-cache-store.js';
import {HttpModelEngine} from '../../adapters/http-model-engine.js';
import {promptBlockKeysOf} from '../../cache/block-keys.js';
import {CachedPrefixes} from '../../decision/cache/cached-prefixes.js';
import {type LinkEstimate} from '../../decision/routing/link-estimate.js';
import {LeastLoadedPolicy} from '../../decision/routing/least-loaded-policy.js';
import {type EndpointView, type RouteRequest} from '../../decision/routing/routing-policy.js';
import {CacheStoreStandIn} from '../../stand-in/cache-store-stand-in.js';
import {ModelEngineStandIn} from '../../stand-in/model-engine-stand-in.js';
import {startStandIn, type StandIn} from '../../stand-in/stand-in-server.js';
import {TestEntry} from '../../test/test-entry.js';
import {CacheEventReader} from './cache-event-reader.js';
import {type FoundBlocks, StoreCachedContext} from './cached-context.js';
import {BlockSaver} from './block-saver.js';

const blocks = 3;
const prompt = 'rulebook '.repeat(Math.ceil(blocks * 8192 / 9));
const blockBytes = 16_384;
/** Room for one prompt and a little more. */
const engineBlocks = 16;
const owner = {salt: 'salt', model: 'permit-1', weightVersion: 'w1'};
const neverAborted = new AbortController().signal;
const here = {host: '127.0.0.1', port: 0};

type Scene = {
	entry: TestEntry;
	engines: readonly ModelEngineStandIn[];
	first: EndpointView;
	second: EndpointView;
	store: CacheStoreStandIn;
	storeStandIn: StandIn;
	route: RouteRequest;
	/** Creates an instance, which shares only the store with other instances. */
	instance(): {cachedContext: StoreCachedContext; saver: BlockSaver; prefixes: CachedPrefixes; reader: CacheEventReader};
	/** Sends the prompt, or another one; returns how many of its tokens were cached. */
	cachedTokensAt(endpoint: EndpointView, sent?: string): Promise<number>;
};

async function createScene(context: TestContext, {capacityBytes = 100 * blockBytes, engineBlocks = 100} = {}): Promise<Scene> {
	const entry = new TestEntry();
	const engine = new HttpModelEngine();
	const store = new CacheStoreStandIn(capacityBytes);
	const storeStandIn = await startStandIn(store, here);
	const engines = ['w1', 'w1'].map(weightVersion => new ModelEngineStandIn({
		model: 'permit-1', weightVersion, prefillTokensPerSecond: 1_000_000, millisecondsPerToken: 0, cachePieces: engineBlocks, batchLimit: 8,
	}));
	const engineStandIns = await Promise.all(engines.map(async standIn => startStandIn(standIn, here)));
	context.after(async () => Promise.all([storeStandIn, ...engineStandIns].map(async standIn => standIn.close())));
	const [first, second] = engineStandIns.map(({address}, index): EndpointView => ({
		name: `engine-${index}`, address, dataCentre: 'riva', service: 'permits', model: 'permit-1', weightVersion: 'w1', state: 'live', heardAt: 0,
	}));
	const route: RouteRequest = {
		requestId: 'request-1',
		workspace: 'quay',
		service: 'permits',
		weightVersion: 'w1',
		priority: 'urgent',
		promptTokens: prompt.length / 4, pieceKeys: promptBlockKeysOf(owner, prompt), avoid: [], deadline: 0,
	};
	entry.context.endpoints.applyList([first!, second!].map(({name, address, dataCentre, service}) => ({
		name, role: 'model-engine', dataCentre, service, address, peerAddress: '', state: 'live',
	})));
	const listed = {
		name: 'store-1', role: 'cache-store' as const, dataCentre: 'riva', service: '', address: storeStandIn.address, peerAddress: '', state: 'live' as const,
	};
	return {
		entry,
		engines,
		first: first!,
		second: second!,
		store,
		storeStandIn,
		route,
		instance() {
			const prefixes = new CachedPrefixes();
			const stores = new HttpCacheStore();
			const own = {...entry.context, engine};
			const saver = new BlockSaver(own, stores, prefixes);
			const reader = new CacheEventReader(own, prefixes);
			const cachedContext = new StoreCachedContext(own, {
				prefixes, stores, reader, saver, links: new Map<string, LinkEstimate>(),
			});
			cachedContext.applyList([listed]);
			return {
				cachedContext, saver, prefixes, reader,
			};
		},
		async cachedTokensAt(endpoint, sent = prompt) {
			const call = {
				requestId: 'request-1', attempt: 1,
				shape: 'text' as const, body: {model: 'permit-1', prompt: sent, max_tokens: 1}, cacheSalt: owner.salt, priority: 'urgent' as const, weightVersion: 'w1', tokensPassedOn: 0,
			};
			let cached: number | undefined;
			for await (const answer of engine.complete(endpoint.address, call, new AbortController().signal)) {
				const event = answer.unsafeCoerce();
				cached = event.kind === 'finished' ? event.cachedTokens : cached;
			}

			return cached ?? -1;
		},
	};
}

async function saveToStore(scene: Scene): Promise<number> {
	await scene.cachedTokensAt(scene.first);
	return scene.instance().saver.save({
		store: 'store-1', storeAddress: scene.storeStandIn.address, endpointAddress: scene.first.address, pieceKeys: scene.route.pieceKeys,
	}, neverAborted);
}

async function transferToSecond(scene: Scene): Promise<void> {
	const {cachedContext} = scene.instance();
	const found = await cachedContext.find(scene.route.pieceKeys);
	const plan = {store: 'store-1', pieceKeys: scene.route.pieceKeys};
	await cachedContext.transfer({
		plan, found, endpoint: scene.second, route: scene.route,
	}, new LeastLoadedPolicy());
}

test('an instance transfers blocks that another instance saved to an endpoint without the prompt', async context => {
	// A rulebook is prefilled at one engine. Hours later it returns at another entry, which shares no state with the first,
	// and goes to an engine that does not have it. Its blocks are read from the store and are not prefilled again.
	const scene = await createScene(context);
	assert.equal(await saveToStore(scene), blocks);
	await transferToSecond(scene);
	assert.equal(await scene.cachedTokensAt(scene.second), blocks * 2048);
});

test('a block is saved once, also if several instances save it', async context => {
	const scene = await createScene(context);
	assert.equal(await saveToStore(scene), blocks);
	assert.equal(await saveToStore(scene), 0);
	assert.equal(scene.store.counts().pieces, blocks);
});

test('a block that was freed between the query and the read is prefilled again', async context => {
	const scene = await createScene(context);
	await saveToStore(scene);
	const {cachedContext} = scene.instance();
	const found = await cachedContext.find(scene.route.pieceKeys);
	const stores = new HttpCacheStore();
	for (const {piece: block} of found!.pieces) {
		await stores.free(scene.storeStandIn.address, block);
	}

	const plan = {store: 'store-1', pieceKeys: scene.route.pieceKeys};
	await cachedContext.transfer({
		plan, found, endpoint: scene.second, route: scene.route,
	}, new LeastLoadedPolicy());
	assert.equal(await scene.cachedTokensAt(scene.second), 0);
});

test('a prompt is answered although its store has failed, and the failed store is queried only once', async context => {
	const scene = await createScene(context);
	await scene.storeStandIn.close();
	const {cachedContext} = scene.instance();
	assert.equal(await cachedContext.find(scene.route.pieceKeys), undefined);
	const before = performance.now();
	assert.equal(await cachedContext.find(scene.route.pieceKeys), undefined);
	assert.ok(performance.now() - before < 50, 'the second prompt did not wait');
	assert.equal(await scene.cachedTokensAt(scene.second), 0);
});

test('in a full store the least recently used blocks are freed, and the new blocks are saved', async context => {
	const scene = await createScene(context, {capacityBytes: 2 * blockBytes});
	const stores = new HttpCacheStore();
	const {saver} = scene.instance();
	await scene.cachedTokensAt(scene.first);
	assert.equal(await saver.save({
		store: 'store-1', storeAddress: scene.storeStandIn.address, endpointAddress: scene.first.address, pieceKeys: scene.route.pieceKeys.slice(0, 2),
	}, neverAborted), 2);
	assert.equal(await saver.save({
		store: 'store-1', storeAddress: scene.storeStandIn.address, endpointAddress: scene.first.address, pieceKeys: scene.route.pieceKeys.slice(2),
	}, neverAborted), 1);
	const found = await stores.findBlocks(scene.storeStandIn.address, scene.route.pieceKeys.slice(2));
	assert.equal(found.orDefault([]).length, 1);
});

test('an engine that swapped its weights imports no block of the old weights', async context => {
	// The engine loads new weights after it was chosen and before the blocks arrive. It rejects the blocks, and the prompt is
	// prefilled under the new version.
	const scene = await createScene(context);
	await saveToStore(scene);
	const engine = new HttpModelEngine();
	await engine.order(scene.second.address, {
		orderId: 'order-1', fencingNumber: 1, action: {kind: 'load-version', model: 'permit-1', weightVersion: 'w2'},
	});
	const {cachedContext} = scene.instance();
	const found = await cachedContext.find(scene.route.pieceKeys);
	const imported = await engine.importBlock(scene.second.address, {pieceKey: scene.route.pieceKeys[0]!, weightVersion: 'w1'}, Buffer.from('{"blocks":[]}'));
	assert.deepEqual(imported.extract(), {kind: 'version-swapped', weightVersion: 'w2'});
	const plan = {store: 'store-1', pieceKeys: scene.route.pieceKeys};
	await cachedContext.transfer({
		plan, found, endpoint: scene.second, route: scene.route,
	}, new LeastLoadedPolicy());
	const stored = await engine.cacheEvents(scene.second.address, 0);
	assert.deepEqual(stored.orDefault([]), []);
});

test('an engine that evicted a prompt after the last read of all events is not treated as having it cached', async context => {
	// A rulebook is prefilled and saved, and the instance reads that the engine has it cached. Another prompt evicts it, and
	// the rulebook returns before the next read of all events. If it were sent to that engine as cached, it would be
	// prefilled again; instead its blocks are found in the store.
	const scene = await createScene(context, {engineBlocks});
	await saveToStore(scene);
	const {cachedContext, prefixes, reader} = scene.instance();
	scene.entry.reportEngine(scene.first.name);
	await reader.readAll();
	assert.equal(prefixes.leadingBlocks(scene.route.pieceKeys).get(scene.first.name), blocks);
	await scene.cachedTokensAt(scene.first, 'harbour '.repeat(prompt.length / 8));
	scene.entry.clock.advance(1000);
	const found = await cachedContext.find(scene.route.pieceKeys);
	assert.equal(found?.pieces.length, blocks);
	assert.equal(prefixes.leadingBlocks(scene.route.pieceKeys).get(scene.first.name), 1);
});

test('the store is not queried if an engine still has the whole prompt cached', async context => {
	const scene = await createScene(context);
	await saveToStore(scene);
	const {cachedContext, prefixes} = scene.instance();
	prefixes.add(scene.first.name, scene.route.pieceKeys);
	assert.equal(await cachedContext.find(scene.route.pieceKeys), undefined);
	assert.equal(prefixes.leadingBlocks(scene.route.pieceKeys).get(scene.first.name), blocks);
});

test('an engine that does not answer delays only one prompt, by 100 ms', async context => {
	// The engine hangs. The first prompt that would rely on it waits for its events until the timeout, and continues with
	// the events read before. The next prompt does not wait.
	const scene = await createScene(context);
	await saveToStore(scene);
	const {cachedContext, prefixes} = scene.instance();
	prefixes.add(scene.first.name, scene.route.pieceKeys);
	scene.engines[0]!.faults.slowMilliseconds = 500;
	const findPrompt = async (): Promise<FoundBlocks | undefined> => {
		const found = await cachedContext.find(scene.route.pieceKeys);
		return found;
	};

	const waiting = findPrompt();
	scene.entry.clock.advance(100);
	assert.equal(await waiting, undefined);
	assert.equal(await cachedContext.find(scene.route.pieceKeys), undefined);
	assert.equal(prefixes.leadingBlocks(scene.route.pieceKeys).get(scene.first.name), blocks);
});

test('a prompt is saved even if its store timed out when it was queried', async context => {
	// The store is busy when the prompt arrives, so the prompt is prefilled and the next prompts do not wait for the store.
	// When the first token arrives the store answers again: the blocks are saved there, and are found when the prompt returns.
	const scene = await createScene(context);
	const {cachedContext, saver} = scene.instance();
	scene.store.faults.slowMilliseconds = 300;
	assert.equal(await cachedContext.find(scene.route.pieceKeys), undefined);
	scene.store.faults.slowMilliseconds = 0;
	await scene.cachedTokensAt(scene.first);
	cachedContext.prefilled(scene.route, scene.first);
	const stop = new AbortController();
	const running = saver.run(stop.signal);
	const deadline = performance.now() + 5000;
	while (scene.store.counts().pieces !== blocks && performance.now() < deadline) {
		await nextTurn();
	}

	stop.abort();
	await running;
	assert.equal(scene.store.counts().pieces, blocks);
});
