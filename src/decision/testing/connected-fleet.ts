/**
 * Instances that place prompts on engines in virtual time, and keep the connections that they opened. What an instance knows of
 * the others' requests and of cached blocks is as old as the reports.
 */
import {seededRandom} from '../../peer/random/seeded-random.js';
import {testEndpoint} from '../../gateway/testing/test-endpoint.js';
import {ConnectionPreference, type PreferredIn} from '../connections/connection-preference.js';
import {CostPlacement} from '../placement/cost-placement.js';
import {type PlacementRequest} from '../placement/placement.js';
import {ConnectedEngine, type VisibleRequest} from './connected-engine.js';
import {type ConnectedLoad, ConnectedPrompts} from './connected-prompts.js';
import {EventQueue} from './event-queue.js';
import {PacedEngine} from './paced-engine.js';
import {SimulatedConnections} from './simulated-connections.js';

export type ConnectedOptions = {
	load: ConnectedLoad;
	/** Where an idle connection counts. */
	preferredIn: PreferredIn | 'nowhere';
	/** How old the knowledge of the other instances' requests and of cached blocks is. */
	reportAgeMilliseconds: number;
	seed: number;
	/** Share of the engines that close idle connections long before the timeout that they state. */
	resettingShare?: number;
	/** When every third engine ends. */
	thirdEndsAt?: number;
	/** When the first instance is replaced by one that has just started. */
	restartAt?: number;
};

/** What became of a prompt; `milliseconds` is infinite if it was refused. */
export type ConnectedResult = {
	at: number; instance: number; engine?: ConnectedEngine; isNew: boolean; isLost: boolean; milliseconds: number; objectiveMilliseconds: number; promptTokens: number; readTokens: number;
};

type Instance = {index: number; policy: CostPlacement; connections: SimulatedConnections};

const dataCentres = ['split', 'zadar', 'sibenik'];
const slowStretchMilliseconds = 600;
/** From the first token to the end of a response. */
const decodeMilliseconds = 300;
/** A new connection takes a round trip of 2 to 4 ms, and a millisecond of the engine. */
const minConnectMilliseconds = 2;
const connectSpreadMilliseconds = 2;
const acceptMilliseconds = 1;
/** When an engine that resets idle connections does so. */
const resetAfterMilliseconds = 100;
const lossFoundMilliseconds = 3;
/** The bounds of the coordinator's answers about the holders of a prompt's blocks. */
const maxHolders = 8;
const commonHolders = 24;

export class ConnectedFleet {
	readonly engines: readonly ConnectedEngine[];
	readonly results: ConnectedResult[] = [];
	readonly #options: ConnectedOptions;
	readonly #events = new EventQueue();
	readonly #random: () => number;
	readonly #prompts: ConnectedPrompts;
	readonly #byName: ReadonlyMap<string, ConnectedEngine>;
	readonly #instances: Instance[];

	constructor(options: ConnectedOptions) {
		const {load, seed} = options;
		this.#options = options;
		// The prompts and their times are the same for all variants with a seed.
		this.#random = seededRandom(seed);
		this.#prompts = new ConnectedPrompts(load.kinds, this.#random);
		const engineRandom = seededRandom(seed + 1000);
		this.engines = Array.from({length: load.engines}, (_, index) => createEngine(load, index, engineRandom));
		this.#byName = new Map(this.engines.map(engine => [engine.options.record.name, engine]));
		this.#instances = Array.from({length: load.instances}, (_, index) => this.#createInstance(index));
	}

	/** Plays prompts for a time; returns what became of each. */
	play(milliseconds: number): ConnectedResult[] {
		const {thirdEndsAt, restartAt} = this.#options;
		const interval = (): number => -Math.log(1 - this.#random()) * 1000 / this.#prompts.perSecond;
		for (let at = interval(); at < milliseconds; at += interval()) {
			const instance = Math.floor(this.#random() * this.#instances.length);
			const request = this.#prompts.next();
			const connectMilliseconds = minConnectMilliseconds + (connectSpreadMilliseconds * this.#random());
			this.#events.at(at, () => {
				this.#place(this.#instances[instance]!, request, {arrivedAt: this.#events.now, connectMilliseconds});
			});
		}

		if (thirdEndsAt !== undefined) {
			this.#events.at(thirdEndsAt, () => {
				this.#endThird();
			});
		}

		if (restartAt !== undefined) {
			this.#events.at(restartAt, () => {
				this.#instances[0] = this.#createInstance(0);
			});
		}

		this.#events.run(Number.MAX_SAFE_INTEGER);
		return this.results;
	}

	#createInstance(index: number): Instance {
		const {preferredIn, load} = this.#options;
		const connections = new SimulatedConnections({instance: `i${index}`, instances: load.instances, connectionLimit: load.connectionLimit});
		const preference = preferredIn === 'nowhere' ? undefined : new ConnectionPreference(connections, () => load.connectionLimit, preferredIn);
		const policy = new CostPlacement(dataCentres[index % dataCentres.length]!, name => this.#byName.get(name)!.loadWithout(index), preference);
		return {index, policy, connections};
	}

	#place(instance: Instance, drawn: PlacementRequest, {arrivedAt, connectMilliseconds}: {arrivedAt: number; connectMilliseconds: number}): void {
		const {now} = this.#events;
		const {load, reportAgeMilliseconds} = this.#options;
		const {blocks, promptTokens} = drawn.prompt!;
		const request: PlacementRequest = {
			...drawn,
			engine: {...drawn.engine!, slots: load.slots, capacityTokens: load.capacityTokens},
			cachedTokensAt: ({name}) => this.#byName.get(name)!.cachedTokensAt(blocks, now - reportAgeMilliseconds),
		};
		const records = this.engines.filter(({isGone}) => !isGone).map(({options: {record}}) => record);
		const names = new Set([...instance.policy.shortlist(request, records, now, 0).map(({name}) => name), ...this.#holders(request, now)]);
		const placement = instance.policy.place(request, records.filter(({name}) => names.has(name)), now);
		const result = {
			at: arrivedAt, instance: instance.index, isNew: false, isLost: false, objectiveMilliseconds: request.objectiveMilliseconds, promptTokens, readTokens: 0,
		};
		if (placement.kind === 'none') {
			this.results.push({...result, milliseconds: Number.POSITIVE_INFINITY});
			return;
		}

		const {endpoint, basis} = placement;
		const engine = this.#byName.get(endpoint.name)!;
		instance.policy.observe({
			kind: 'sent', request, endpoint, basis,
		}, now);
		const isNew = !instance.connections.take(endpoint.address, now);
		const visible: VisibleRequest = {
			instance: instance.index, rank: request.rank, pendingTokens: basis.readTokens, heldTokens: promptTokens,
		};
		this.#report(() => {
			engine.visible.add(visible);
		});
		const {readTokens, endsAt} = engine.prefill(request, isNew ? acceptMilliseconds : 0, now + (isNew ? connectMilliseconds : 0));
		this.results.push({
			...result, engine, isNew, readTokens, milliseconds: endsAt - arrivedAt,
		});
		this.#events.at(endsAt, () => {
			this.#answered(instance, {request, engine, visible});
		});
	}

	#answered(instance: Instance, {request, engine, visible}: {request: PlacementRequest; engine: ConnectedEngine; visible: VisibleRequest}): void {
		const {record: endpoint} = engine.options;
		instance.policy.observe({
			kind: 'answered', request, endpoint, load: undefined,
		}, this.#events.now);
		this.#report(() => {
			visible.pendingTokens = 0;
		});
		this.#events.at(this.#events.now + decodeMilliseconds, () => {
			instance.policy.observe({
				kind: 'ended', request, endpoint, outcome: 'whole',
			}, this.#events.now);
			this.#report(() => {
				engine.visible.delete(visible);
			});
			if (!engine.isGone) {
				this.#release(instance, engine);
			}
		});
	}

	#release(instance: Instance, engine: ConnectedEngine): void {
		const {address, name} = engine.options.record;
		instance.connections.release(engine, this.#events.now);
		const {resettingShare = 0, load} = this.#options;
		if (Number(name.slice(1)) < resettingShare * load.engines) {
			this.#events.at(this.#events.now + resetAfterMilliseconds, () => {
				instance.connections.end(address, this.#events.now);
			});
		}
	}

	/** Runs a change of what is known when its report arrives. */
	#report(change: () => void): void {
		this.#events.at(this.#events.now + this.#options.reportAgeMilliseconds, change);
	}

	/** The names of the engines that hold the deepest blocks of a prompt, those with the fewest requests first. */
	#holders({prompt}: PlacementRequest, now: number): string[] {
		const at = now - this.#options.reportAgeMilliseconds;
		const names = new Set<string>();
		for (const block of prompt!.blocks.toReversed()) {
			const holders = this.engines
				.filter(engine => !engine.isGone && engine.cachedTokensAt([block], at)[0]! > 0)
				.toSorted((one, other) => one.visible.size - other.visible.size);
			for (const {options: {record}} of holders.length > commonHolders ? [] : holders.slice(0, maxHolders - names.size)) {
				names.add(record.name);
			}
		}

		return [...names];
	}

	/** Every third engine ends: its connections end at once, and its row in the list expires. */
	#endThird(): void {
		for (const engine of this.engines.filter((_, index) => index % 3 === 0)) {
			engine.isGone = true;
			this.#events.at(this.#events.now + lossFoundMilliseconds, () => {
				for (const {connections} of this.#instances) {
					connections.end(engine.options.record.address, this.#events.now);
				}
			});
		}
	}
}

function createEngine({slots, capacityTokens, tokensPerMillisecond, slowShare, statedSeconds}: ConnectedLoad, index: number, random: () => number): ConnectedEngine {
	const paced = slowShare === 0 ? undefined : new PacedEngine(index, {slow: slowStretchMilliseconds, share: slowShare}, random);
	return new ConnectedEngine({
		record: testEndpoint({
			name: `e${index}`, service: 'engines', address: `10.0.0.${index}:1`, dataCentre: dataCentres[index % dataCentres.length]!, slots, startedAt: 1000 + index,
		}),
		capacityTokens,
		tokensPerMillisecond,
		statedMilliseconds: 1000 * statedSeconds[Math.floor(index / dataCentres.length) % statedSeconds.length]!,
		paceAt: now => paced?.paceAt(now) ?? 1,
	});
}
