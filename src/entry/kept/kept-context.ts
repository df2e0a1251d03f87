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
import {type PieceSaver} from './piece-saver.js';
import {StoreSuspicion} from './store-suspicion.js';

/** A transfer is stopped when it takes longer than this multiple of the expected time, plus the milliseconds below. */
const patienceTimes = 4;
const patienceMilliseconds = 200;

/** The blocks of a prompt that a store has. */
export type FoundPieces = {
	store: string;
	pieces: readonly SealedBlock[];
};

/** A transfer of blocks from a store to an endpoint, for one prompt. */
export type BringOrder = {
	plan: FetchPlan;
	found: FoundPieces | undefined;
	endpoint: EndpointView;
	route: RouteRequest;
};

/** Access to cached context for the data path. */
export interface KeptContext {
	/** Queries which blocks the prompt's store has, unless an endpoint has all of them by its newest events. */
	find(pieceKeys: readonly string[]): Promise<FoundPieces | undefined>;
	/** Transfers blocks to an endpoint; resolves when the transfer is complete or was stopped. */
	bring(order: BringOrder, policy: RoutingPolicy): Promise<void>;
	/** Notes that an endpoint has prefilled a prompt, whose blocks may be worth saving. */
	prefilled(route: RouteRequest, endpoint: EndpointView): void;
}

/** Dependencies of the cached context. */
export type KeptParts = {
	prefixes: CachedPrefixes;
	stores: CacheStore;
	reader: CacheEventReader;
	saver: PieceSaver;
	/** Estimates of the links by store. Routing reads them; they are updated here from the instance list. */
	links: Map<string, LinkEstimate>;
};

export class StoreKeptContext implements KeptContext {
	readonly #context: EntryContext;
	readonly #parts: KeptParts;
	readonly #addresses = new Map<string, string>();
	readonly #suspicion = new StoreSuspicion();
	#keeping: SavePolicy;

	constructor(context: EntryContext, parts: KeptParts) {
		this.#context = context;
		this.#parts = parts;
		this.#keeping = new SaveAllPolicy(parts.prefixes, []);
	}

	/** Applies the platform's instance list. A store that is no longer listed is removed, with the record of its blocks. */
	takeList(instances: readonly ListedInstance[]): void {
		const {links, prefixes} = this.#parts;
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

		this.#keeping = new SaveAllPolicy(prefixes, [...names].toSorted());
	}

	async find(pieceKeys: readonly string[]): Promise<FoundPieces | undefined> {
		const {clock} = this.#context;
		const {prefixes, stores, links, reader} = this.#parts;
		if (pieceKeys.length === 0 || links.size === 0) {
			return undefined;
		}

		await reader.confirm(pieceKeys);
		if (this.#isKeptByAnEngine(pieceKeys)) {
			return undefined;
		}

		const store = storeOf(pieceKeys, [...links.keys()].toSorted());
		if (this.#suspicion.isSuspect(store, clock.now())) {
			return undefined;
		}

		const found = await stores.findBlocks(this.#addresses.get(store)!, pieceKeys);
		return found.caseOf({
			Left: () => {
				this.#suspicion.late(store, clock.now());
				prefixes.remove(store, pieceKeys);
				return undefined;
			},
			Right: pieces => {
				this.#suspicion.answered(store);
				prefixes.add(store, pieceKeys.slice(0, pieces.length));
				prefixes.remove(store, pieceKeys.slice(pieces.length));
				return {store, pieces};
			},
		});
	}

	async bring(order: BringOrder, policy: RoutingPolicy): Promise<void> {
		const {clock, metrics, timeline} = this.#context;
		const {plan, endpoint, route} = order;
		const startedAt = clock.now();
		const pieces = await this.#bringInTurn(order, startedAt);
		const now = clock.now();
		policy.observe({
			kind: 'fetched',
			endpoint: endpoint.name,
			requestId: route.requestId,
			store: plan.store,
			pieceKeys: plan.pieceKeys,
			pieces,
			afterMilliseconds: now - startedAt,
			linkMilliseconds: now - startedAt,
		}, now);
		metrics.report('kept.pieces_fetched', pieces);
		timeline.record({
			kind: 'piece-read', at: now, requestId: route.requestId, workspace: route.workspace, endpoint: endpoint.name, detail: `${pieces} of ${plan.pieceKeys.length} from ${plan.store}`,
		});
	}

	prefilled(route: RouteRequest, endpoint: EndpointView): void {
		// The keys are calculated with the declared weight version. The blocks of an endpoint with another version have other
		// keys.
		if (endpoint.weightVersion !== route.weightVersion) {
			return;
		}

		const {workspace, pieceKeys} = route;
		const actions = this.#keeping.prefilled({
			workspace, endpoint: endpoint.name, pieceKeys, reusedBlocks: 0,
		}, this.#context.clock.now());
		// A store in backoff is not skipped here: no caller waits for a save, and a prompt that is not saved is prefilled again
		// when it returns. The saver has its own retries and pauses.
		for (const {store, pieceKeys: keys} of actions) {
			this.#parts.saver.enqueue({
				store, storeAddress: this.#addresses.get(store)!, endpointAddress: endpoint.address, pieceKeys: keys,
			});
		}
	}

	/** Transfers the blocks in order, and returns how many leading blocks of the plan reached the endpoint. */
	async #bringInTurn({plan, found, endpoint, route}: BringOrder, startedAt: number): Promise<number> {
		const {clock} = this.#context;
		const address = this.#addresses.get(plan.store);
		if (found?.store !== plan.store || address === undefined || endpoint.weightVersion !== route.weightVersion) {
			return 0;
		}

		const link = this.#parts.links.get(plan.store);
		const patience = patienceMilliseconds + (patienceTimes * (link?.fetchMilliseconds(plan.pieceKeys.length, startedAt) ?? 0));
		let brought = 0;
		for (const pieceKey of plan.pieceKeys) {
			const stored = found.pieces.find(({piece}) => piece.pieceKey === pieceKey);
			if (stored === undefined || clock.now() - startedAt > patience || !await this.#bringOne(stored, {store: plan.store, address}, endpoint)) {
				break;
			}

			brought++;
		}

		return brought;
	}

	async #bringOne({piece, seal}: SealedBlock, {store, address}: {store: string; address: string}, endpoint: EndpointView): Promise<boolean> {
		const read = await this.#parts.stores.read(address, piece, seal);
		if (read.isLeft()) {
			const {kind} = read.extract() as {kind: string};
			if (kind === 'unavailable') {
				this.#suspicion.stalled(store, this.#context.clock.now());
			}

			return false;
		}

		const imported = await this.#context.engine.importBlock(endpoint.address, {pieceKey: piece.pieceKey, weightVersion: endpoint.weightVersion}, read.unsafeCoerce());
		return imported.isRight();
	}

	#isKeptByAnEngine(pieceKeys: readonly string[]): boolean {
		const {prefixes, links} = this.#parts;
		return [...prefixes.leadingBlocks(pieceKeys)].some(([name, pieces]) => !links.has(name) && pieces === pieceKeys.length);
	}
}

/** Cached context without stores: blocks that no engine has are prefilled again. A baseline, also used in tests. */
export class NoKeptContext implements KeptContext {
	async find(): Promise<undefined> {
		return undefined;
	}

	async bring(): Promise<void> {
		// Without stores there is nothing to transfer.
	}

	prefilled(): void {
		// Without stores nothing is saved.
	}
}
