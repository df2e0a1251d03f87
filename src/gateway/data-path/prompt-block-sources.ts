/** Finds the cache stores and engines that hold the blocks of one request's prompt, by what this instance knows. */
import {type NamedStore, type BlockLocator} from '../../decision/blocks/plan-blocks.js';
import {isDataCentreAllowed} from '../../decision/routing/allowed-regions.js';
import {chooseSource, orderSources, type ChosenSource} from '../../decision/transfers/choose-source.js';
import {type TransferSource} from '../../decision/transfers/transfer-time.js';
import {worthwhileFetches} from '../../decision/transfers/worthwhile-fetches.js';
import {type Moment} from '../../ports/moment-clock.js';
import {cacheSalt} from '../../protocol/blocks/cache-salt.js';
import {blockKey} from '../../protocol/blocks/block-key.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type PromptBlock} from '../../shared/prompt-shape.js';
import {type EngineTraits} from '../../shared/routed-configuration.js';
import {type GatewayContext} from '../gateway-context.js';
import {type PlacementQuery} from '../coordinator/coordinator-messages.js';
import {cacheScopeOf} from './endpoint-headers.js';
import {type PermittedRequest} from './validate-request.js';
import {type RequestHead} from './request-head.js';

export type SourceContext = Pick<GatewayContext, 'clock' | 'configuration' | 'regions' | 'endpoints' | 'coordinatorView' | 'loadingEngines' | 'placement'>;

/** Blocks are queried under this many versions of the weights; while new weights are loaded, engines have two. */
const maxVersions = 2;

export class PromptBlockSources {
	readonly #context: SourceContext;
	readonly #blocks: readonly PromptBlock[];
	readonly #model: string;
	readonly #service: string;
	readonly #scope: string;
	readonly #permitted: PermittedRequest;
	readonly #now: Moment;
	/** Sources of blocks, by key and data centre; every candidate asks for them. */
	readonly #sources = new Map<string, readonly ChosenSource[]>();
	/** Keys of all blocks by weight version, in the order of the prompt; every candidate asks for them. */
	readonly #keys = new Map<number, readonly string[]>();
	#stores: readonly NamedStore[] | undefined;

	/** Answers for the moment of its construction; a request that is placed again needs a new instance. */
	constructor(context: SourceContext, head: RequestHead, permitted: PermittedRequest) {
		this.#context = context;
		this.#blocks = head.prompt?.blocks ?? [];
		this.#model = head.prompt?.model ?? '';
		this.#service = permitted.service;
		this.#scope = cacheScopeOf(permitted);
		this.#permitted = permitted;
		this.#now = context.clock.moment();
	}

	/** All blocks but the last, which belongs to this request alone. */
	get sharedBlocks(): readonly PromptBlock[] {
		return this.#blocks.slice(0, -1);
	}

	/** The cache stores in regions that may hold the prompt's blocks. */
	get stores(): readonly NamedStore[] {
		this.#stores ??= [...this.#context.configuration.current?.services.values() ?? []]
			.flatMap(({name, store}) => store?.isManaged && this.#isAllowedIn(store.dataCentre) ? [{name, store}] : []);
		return this.#stores;
	}

	/** The salt under which engines with a weight version cache the blocks. */
	saltUnder(version: number): string {
		return cacheSalt(this.#scope, version);
	}

	/** Milliseconds that an engine would take to fetch each shared block, by index; `undefined` where it should not fetch it. */
	fetchMillisecondsAt(endpoint: EndpointRecord): ReadonlyArray<number | undefined> {
		return this.#fetchesAt(endpoint).map(fetch => fetch?.milliseconds);
	}

	/** Tokens of each block that an engine caches, by the engine's cache events; `undefined` while those are not known. */
	cachedTokensAt({name, weightVersions}: EndpointRecord): readonly number[] | undefined {
		const version = weightVersions.get(this.#model);
		if (version === undefined) {
			return undefined;
		}

		const cachedTokens: number[] = [];
		for (const key of this.#keysUnder(version)) {
			const tokens = this.#context.coordinatorView.tokensAt(name, key, this.#now);
			if (tokens === undefined) {
				return undefined;
			}

			cachedTokens.push(tokens);
		}

		return cachedTokens;
	}

	/** The query to send before the prompt is placed on one of some endpoints. */
	query(endpoints: readonly EndpointRecord[]): PlacementQuery {
		return {
			endpoints: endpoints.map(({name}) => name), keys: this.#queriedKeys(), partCount: this.#blocks.length,
		};
	}

	/** Engines that are known to cache a block of the prompt. */
	cachingEngines(): readonly EndpointRecord[] {
		const {endpoints, coordinatorView} = this.#context;
		const names = new Set(this.#queriedKeys().flatMap(key => coordinatorView.enginesWith(key, this.#now)));
		return names.size === 0 ? [] : endpoints.usable(this.#service, this.#now.steady).filter(({name}) => names.has(name));
	}

	/** What is known about the sources that an engine can fetch blocks from. */
	blockLocatorFor(target: EndpointRecord): BlockLocator {
		const {coordinatorView} = this.#context;
		const fetches = this.#fetchesAt(target);
		return {
			isOpen: store => coordinatorView.isOpen(store, this.#now),
			holds: (store, key) => coordinatorView.holds(store, key, this.#now),
			heldTokens: store => coordinatorView.heldTokens(store),
			source: index => fetches[index]?.source.address,
		};
	}

	/** Where an engine should fetch each shared block from; `undefined` where it should not. */
	#fetchesAt(endpoint: EndpointRecord): ReadonlyArray<ChosenSource | undefined> {
		const version = endpoint.weightVersions.get(this.#model);
		if (version === undefined) {
			return [];
		}

		const {sharedBlocks} = this;
		const cached = this.cachedTokensAt(endpoint);
		const keys = this.#keysUnder(version);
		const fetches = sharedBlocks.map(({tokens}, index) => chooseSource(this.#orderedSources(keys[index]!, tokens, endpoint.dataCentre), endpoint.address, `${keys[index]!}|${endpoint.name}`));
		const count = worthwhileFetches(sharedBlocks.map(({tokens}, index) => ({
			isCached: (cached?.[index] ?? 0) >= tokens, fetchMilliseconds: fetches[index]?.milliseconds, prefillMilliseconds: this.#prefillMilliseconds(tokens),
		})));
		return fetches.slice(0, count);
	}

	/** The sources of a block for engines of a data centre, the fastest first. */
	#orderedSources(key: string, tokens: number, dataCentre: string): readonly ChosenSource[] {
		const name = `${key}|${dataCentre}`;
		let ordered = this.#sources.get(name);
		if (ordered === undefined) {
			const traits = this.#context.configuration.current?.services.get(this.#service)?.engine;
			ordered = orderSources(this.#sourcesOf(key, traits), {dataCentre, traits}, tokens, this.#prefillMilliseconds(tokens));
			this.#sources.set(name, ordered);
		}

		return ordered;
	}

	#sourcesOf(key: string, traits: EngineTraits | undefined): TransferSource[] {
		const stores = this.stores.filter(({name}) => this.#context.coordinatorView.holds(name, key, this.#now));
		return [
			...stores.map(({name, store}) => ({
				address: store.address, store: name, dataCentre: store.dataCentre, linkMegabitsPerSecond: store.linkMegabitsPerSecond, latencyMilliseconds: store.transferLatencyMilliseconds,
			})),
			...this.#enginesWith(key).map(({address, dataCentre}) => ({
				address, dataCentre, linkMegabitsPerSecond: traits?.linkMegabitsPerSecond ?? 0, latencyMilliseconds: 0,
			})),
		];
	}

	#prefillMilliseconds(tokens: number): number {
		return this.#context.placement.prefillMilliseconds(this.#service, tokens);
	}

	/** Engines that cache a block and can send it. One that loads weights or is unresponsive would let the fetch time out. */
	#enginesWith(key: string): EndpointRecord[] {
		const {endpoints, coordinatorView, loadingEngines, placement} = this.#context;
		return coordinatorView.enginesWith(key, this.#now)
			.map(name => endpoints.byName(name))
			.filter((engine): engine is EndpointRecord => engine?.service === this.#service && engine.state === 'ready'
				&& this.#isAllowedIn(engine.dataCentre)
				&& !loadingEngines.current.has(engine.name) && !placement.isUnresponsive(engine, this.#now.steady));
	}

	#isAllowedIn(dataCentre: string): boolean {
		return isDataCentreAllowed(this.#permitted, this.#context.regions, dataCentre);
	}

	/** Keys of the blocks under the newest versions that engines of the service have. */
	#queriedKeys(): string[] {
		const engines = this.#context.endpoints.usable(this.#service, this.#now.steady);
		return newestVersions(engines, this.#model).flatMap(version => this.#keysUnder(version));
	}

	/** Keys of all blocks under a weight version, in the order of the prompt. */
	#keysUnder(version: number): readonly string[] {
		const known = this.#keys.get(version);
		if (known !== undefined) {
			return known;
		}

		const salt = this.saltUnder(version);
		const keys = this.#blocks.map(({id}) => blockKey({salt, id}));
		this.#keys.set(version, keys);
		return keys;
	}
}

/** The newest versions of a model's weights at some engines, by list of engines and model: the lists change less often than prompts arrive. */
const versionsByEngines = new WeakMap<readonly EndpointRecord[], Map<string, readonly number[]>>();

function newestVersions(engines: readonly EndpointRecord[], model: string): readonly number[] {
	const known = versionsByEngines.get(engines) ?? new Map<string, readonly number[]>();
	versionsByEngines.set(engines, known);
	let newest = known.get(model);
	if (newest === undefined) {
		const versions = new Set(engines.map(({weightVersions}) => weightVersions.get(model)).filter(version => version !== undefined));
		newest = [...versions].toSorted((one, other) => other - one).slice(0, maxVersions);
		known.set(model, newest);
	}

	return newest;
}
