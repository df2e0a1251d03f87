/**
 * The shell around kept context: asks the store that a prompt's pieces belong to what it has, brings pieces to the
 * endpoint that routing chose, and has saved what was computed.
 *
 * No instance keeps a directory of the stores. The store of a prompt is worked out by rendezvous hashing of its first
 * piece, and the store itself is asked, so that a new instance knows as much as one that it replaced. All that is learnt
 * is a hint: a piece that is gone, damaged or late is recomputed.
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

/** Bringing pieces is given up when it takes so many times as long as was expected, and this much more. */
const patienceTimes = 4;
const patienceMilliseconds = 200;

/** What a store has of a prompt. */
export type FoundPieces = {
	store: string;
	pieces: readonly SealedBlock[];
};

/** Where pieces are brought to, and for whom. */
export type BringOrder = {
	plan: FetchPlan;
	found: FoundPieces | undefined;
	endpoint: EndpointView;
	route: RouteRequest;
};

/** Kept context as the data path uses it. */
export interface KeptContext {
	/** Finds out what the prompt's store has, unless an endpoint has it all by its newest events. */
	find(pieceKeys: readonly string[]): Promise<FoundPieces | undefined>;
	/** Brings pieces to an endpoint; resolves when they are there or were given up. */
	bring(order: BringOrder, policy: RoutingPolicy): Promise<void>;
	/** A prompt was prefilled at an endpoint: what it computed may be worth keeping. */
	prefilled(route: RouteRequest, endpoint: EndpointView): void;
}

/** The parts that kept context is made of. */
export type KeptParts = {
	prefixes: CachedPrefixes;
	stores: CacheStore;
	reader: CacheEventReader;
	saver: PieceSaver;
	/** The links by store, which routing reads; kept in step with the list here. */
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

	/** Takes the stores of the platform's list. A store that went is forgotten with all that it was believed to have. */
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
		// The keys name the declared weight version. Under another one they would name pieces that this endpoint does not
		// have.
		if (endpoint.weightVersion !== route.weightVersion) {
			return;
		}

		const {workspace, pieceKeys} = route;
		const actions = this.#keeping.prefilled({
			workspace, endpoint: endpoint.name, pieceKeys, reusedBlocks: 0,
		}, this.#context.clock.now());
		// A store that was late for a caller is not passed over here: nobody waits for a save, and a prompt that is not saved
		// is computed again when it returns. The saver has its own patience.
		for (const {store, pieceKeys: keys} of actions) {
			this.#parts.saver.enqueue({
				store, storeAddress: this.#addresses.get(store)!, endpointAddress: endpoint.address, pieceKeys: keys,
			});
		}
	}

	/** Gives how many leading pieces of the plan came to the endpoint. */
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

/** No stores: everything that no engine keeps is recomputed. A baseline, and what tests without stores use. */
export class NoKeptContext implements KeptContext {
	async find(): Promise<undefined> {
		return undefined;
	}

	async bring(): Promise<void> {
		// There is nothing to bring.
	}

	prefilled(): void {
		// Nothing is kept.
	}
}
