/**
 * Uses the cached context of prompts: queries the store that owns a prompt's blocks, transfers blocks to the endpoint that
 * routing chose, and orders that prefilled blocks are saved to the store.
 *
 * No instance keeps a directory of the stores. Rendezvous hashing of a prompt's first block gives its store, and the store
 * itself is queried, so that a new instance can use the same blocks as the instance it replaces. The answers are hints: a
 * block that was removed, is damaged or arrives late is prefilled again.
 */
import {type SavePolicy} from '../../decision/cache/save-policy.js';
import {type CachedPrefixes} from '../../decision/cache/cached-prefixes.js';
import {SaveAllPolicy} from '../../decision/cache/save-all-policy.js';
import {storeOf} from '../../decision/cache/store-of.js';
import {LinkEstimate} from '../../decision/routing/link-estimate.js';
import {
	type EndpointView, type FetchPlan, type RouteRequest, type RoutingPolicy,
} from '../../decision/routing/routing-policy.js';
import {type CacheStore, type SealedBlock} from '../../ports/cache-store.js';
import {type ListedInstance} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';
import {type CacheEventReader} from './cache-event-reader.js';
import {type BlockSaver} from './block-saver.js';
import {StoreBackoff} from './store-backoff.js';

/** A transfer is stopped when it takes longer than this multiple of the expected time, plus the milliseconds below. */
const timeoutFactor = 4;
const timeoutMarginMilliseconds = 200;

/** The blocks of a prompt that a store has. */
export type FoundBlocks = {
	store: string;
	pieces: readonly SealedBlock[];
};

/** A transfer of blocks from a store to an endpoint, for one prompt. */
export type StoreTransfer = {
	plan: FetchPlan;
	found: FoundBlocks | undefined;
	endpoint: EndpointView;
	route: RouteRequest;
};

/** Access to cached context for the data path. */
export interface CachedContext {
	/** Queries which blocks the prompt's store has, unless an endpoint has all of them by its newest events. */
	find(pieceKeys: readonly string[]): Promise<FoundBlocks | undefined>;
	/** Transfers blocks to an endpoint; resolves when the transfer is complete or was stopped. */
	transfer(transfer: StoreTransfer, policy: RoutingPolicy): Promise<void>;
	/** Notes that an endpoint has prefilled a prompt, whose blocks may be worth saving. */
	prefilled(route: RouteRequest, endpoint: EndpointView): void;
}

/** Dependencies of the cached context. */
export type CachedContextDependencies = {
	prefixes: CachedPrefixes;
	stores: CacheStore;
	reader: CacheEventReader;
	saver: BlockSaver;
	/** Estimates of the links by store. Routing reads them; they are updated here from the instance list. */
	links: Map<string, LinkEstimate>;
};

export class StoreCachedContext implements CachedContext {
	readonly #context: EntryContext;
	readonly #dependencies: CachedContextDependencies;
	readonly #addresses = new Map<string, string>();
	readonly #backoff = new StoreBackoff();
	#savePolicy: SavePolicy;

	constructor(context: EntryContext, dependencies: CachedContextDependencies) {
		this.#context = context;
		this.#dependencies = dependencies;
		this.#savePolicy = new SaveAllPolicy(dependencies.prefixes, []);
	}

	/** Applies the platform's instance list. A store that is no longer listed is removed, with the record of its blocks. */
	applyList(instances: readonly ListedInstance[]): void {
		const {links, prefixes} = this.#dependencies;
		const live = instances.filter(({role, state}) => role === 'cache-store' && state === 'live');
		const names = new Set(live.map(({name}) => name));
		for (const name of [...links.keys()].filter(known => !names.has(known))) {
			links.delete(name);
			this.#addresses.delete(name);
			prefixes.removeHolder(name);
		}

		for (const {name, address} of live) {
			if (!links.has(name)) {
				links.set(name, new LinkEstimate(this.#context.settings.storePieceMilliseconds));
			}

			this.#addresses.set(name, address);
		}

		this.#savePolicy = new SaveAllPolicy(prefixes, [...names].toSorted());
	}

	async find(pieceKeys: readonly string[]): Promise<FoundBlocks | undefined> {
		const {clock} = this.#context;
		const {prefixes, stores, links, reader} = this.#dependencies;
		if (pieceKeys.length === 0 || links.size === 0) {
			return undefined;
		}

		await reader.confirm(pieceKeys);
		if (this.#isCachedByAnEngine(pieceKeys)) {
			return undefined;
		}

		const store = storeOf(pieceKeys, [...links.keys()].toSorted());
		if (this.#backoff.isBackingOff(store, clock.now())) {
			return undefined;
		}

		const found = await stores.findBlocks(this.#addresses.get(store)!, pieceKeys);
		return found.caseOf({
			Left: () => {
				this.#backoff.noteTimeout(store, clock.now());
				prefixes.remove(store, pieceKeys);
				return undefined;
			},
			Right: blocks => {
				this.#backoff.noteAnswer(store);
				prefixes.add(store, pieceKeys.slice(0, blocks.length));
				prefixes.remove(store, pieceKeys.slice(blocks.length));
				return {store, pieces: blocks};
			},
		});
	}

	async transfer(transfer: StoreTransfer, policy: RoutingPolicy): Promise<void> {
		const {clock, metrics, timeline} = this.#context;
		const {plan, endpoint, route} = transfer;
		const startedAt = clock.now();
		const transferred = await this.#transferInOrder(transfer, startedAt);
		const now = clock.now();
		policy.observe({
			kind: 'fetched',
			endpoint: endpoint.name,
			requestId: route.requestId,
			store: plan.store,
			pieceKeys: plan.pieceKeys,
			pieces: transferred,
			afterMilliseconds: now - startedAt,
			linkMilliseconds: now - startedAt,
		}, now);
		metrics.report('kept.pieces_fetched', transferred);
		timeline.record({
			kind: 'piece-read', at: now, requestId: route.requestId, workspace: route.workspace, endpoint: endpoint.name, detail: `${transferred} of ${plan.pieceKeys.length} from ${plan.store}`,
		});
	}

	prefilled(route: RouteRequest, endpoint: EndpointView): void {
		// The keys are calculated with the declared weight version. The blocks of an endpoint with another version have other
		// keys.
		if (endpoint.weightVersion !== route.weightVersion) {
			return;
		}

		const {workspace, pieceKeys} = route;
		const actions = this.#savePolicy.prefilled({
			workspace, endpoint: endpoint.name, pieceKeys, reusedBlocks: 0,
		}, this.#context.clock.now());
		// A store in backoff is not skipped here: no caller waits for a save, and a prompt that is not saved is prefilled again
		// when it returns. The saver has its own retries and pauses.
		for (const {store, pieceKeys: keys} of actions) {
			this.#dependencies.saver.enqueue({
				store, storeAddress: this.#addresses.get(store)!, endpointAddress: endpoint.address, pieceKeys: keys,
			});
		}
	}

	/** Transfers the blocks in order, and returns how many leading blocks of the plan reached the endpoint. */
	async #transferInOrder({plan, found, endpoint, route}: StoreTransfer, startedAt: number): Promise<number> {
		const {clock} = this.#context;
		const address = this.#addresses.get(plan.store);
		if (found?.store !== plan.store || address === undefined || endpoint.weightVersion !== route.weightVersion) {
			return 0;
		}

		const link = this.#dependencies.links.get(plan.store);
		const timeoutMilliseconds = timeoutMarginMilliseconds + (timeoutFactor * (link?.fetchMilliseconds(plan.pieceKeys.length, startedAt) ?? 0));
		let transferred = 0;
		for (const pieceKey of plan.pieceKeys) {
			const stored = found.pieces.find(({piece: block}) => block.pieceKey === pieceKey);
			if (stored === undefined || clock.now() - startedAt > timeoutMilliseconds || !await this.#transferOne(stored, {store: plan.store, address}, endpoint)) {
				break;
			}

			transferred++;
		}

		return transferred;
	}

	async #transferOne({piece: block, seal}: SealedBlock, {store, address}: {store: string; address: string}, endpoint: EndpointView): Promise<boolean> {
		const read = await this.#dependencies.stores.read(address, block, seal);
		if (read.isLeft()) {
			const {kind} = read.extract() as {kind: string};
			if (kind === 'unavailable') {
				this.#backoff.noteStall(store, this.#context.clock.now());
			}

			return false;
		}

		const imported = await this.#context.engine.importBlock(endpoint.address, {pieceKey: block.pieceKey, weightVersion: endpoint.weightVersion}, read.unsafeCoerce());
		return imported.isRight();
	}

	#isCachedByAnEngine(pieceKeys: readonly string[]): boolean {
		const {prefixes, links} = this.#dependencies;
		return [...prefixes.leadingBlocks(pieceKeys)].some(([name, blocks]) => !links.has(name) && blocks === pieceKeys.length);
	}
}

/** Cached context without stores: blocks that no engine has are prefilled again. A baseline, also used in tests. */
export class NoCachedContext implements CachedContext {
	async find(): Promise<undefined> {
		return undefined;
	}

	async transfer(): Promise<void> {
		// Without stores there is nothing to transfer.
	}

	prefilled(): void {
		// Without stores nothing is saved.
	}
}
