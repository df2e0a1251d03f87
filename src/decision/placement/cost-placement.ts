/**
 * Places each request where it costs the least time, its own and that of others.
 *
 * Load it answers: prompts whose long shared parts return to any of many instances, quick questions among them, and
 * engines that crash or fill. Without it a returning prompt lands on an engine that does not keep its parts and they are
 * read again, which takes most of an engine's time: reading is what engines are busy with, not writing.
 *
 * Instances share no state, so each shared part has a home: the first engine by rendezvous hash of its id. All instances
 * name the same home, and presume the part to be kept there. Another engine is taken when the wait at home is longer than
 * reading the part again elsewhere, with reading weighed for the time that it takes from others.
 */
import {hashOf} from '../../shared/hash-of.js';
import {spreadRetry} from '../limits/spread-retry.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {admitsPrompt} from './admit-prompt.js';
import {BelievedParts} from './believed-parts.js';
import {
	addLoads, type EndpointLoad, isSilent, noLoad, unreadBefore,
} from './endpoint-load.js';
import {EndpointOutlook} from './endpoint-outlook.js';
import {
	type OthersAt, type Placement, type PlacementEvent, type PlacementPolicy, type PlacementRequest,
} from './placement.js';

/** Prompt tokens that an engine reads in a millisecond, until measured: the lower end of what current engines state. */
const prefillTokensPerMillisecond = 55;
/** Tokens that an engine fetches from a store in a millisecond: 50 Gbit/s at about 18 KB a token, less the way there. */
const fetchTokensPerMillisecond = 250;
/** Reading parts again takes an engine's time from all others there; its own caller waits for it once, others as well. */
const rereadWeight = 3;
/** One running request slows the tokens of the others by about a tenth of a millisecond a step, over some dozens of steps. */
const runningMilliseconds = 3;
/** A waiting request stands for a full engine: a slot comes free after about the time of a short answer. */
const waitingMilliseconds = 200;
/** A call to a plain service takes a slot for tens of milliseconds; each one ahead is weighed like one of those. */
const callMilliseconds = 40;
/** A round trip between data centres, and the price of bytes that cross. */
const otherDataCentreMilliseconds = 6;
/**
 * Weighed against an engine whose weights were replaced by newer ones: an answer on them is worth a fifth less, about as
 * much as this delay costs a prompt with a short objective.
 */
const oldWeightsMilliseconds = 150;
/** When to come back if no endpoint is known, or all are left alone: the time of a heartbeat or two. */
const noEndpointRetryMilliseconds = 800;
/** When to come back to a service that is full: some slots come free in this time. */
const overloadRetryMilliseconds = 600;
/** Callers do not wait longer than a third of the time that they have left; more would be for nothing. */
const longestOverloadRetryMilliseconds = 2500;
/** A service counts as full when each of its endpoints has this multiple of its slots running or waiting. */
const fullShare = 2;

type Candidate = {endpoint: EndpointRecord; cost: number; isAdmitted: boolean; missingTokens: number};

export class CostPlacement implements PlacementPolicy {
	readonly #dataCentre: string;
	readonly #othersAt: OthersAt;
	readonly #outlooks = new Map<string, EndpointOutlook>();
	readonly #parts = new Map<string, BelievedParts>();
	readonly #unreachable = new Map<string, EndpointRecord>();

	/**
	 * @param dataCentre - Where this instance stands.
	 * @param othersAt - What the other instances have under way.
	 */
	constructor(dataCentre: string, othersAt: OthersAt = () => undefined) {
		this.#dataCentre = dataCentre;
		this.#othersAt = othersAt;
	}

	/** What this instance has under way, by endpoint. */
	ownLoads(now: number): Map<string, EndpointLoad> {
		const loads = new Map<string, EndpointLoad>();
		for (const [key, outlook] of this.#outlooks) {
			const load = outlook.loadAt(now);
			if (load.requests > 0) {
				loads.set(key.slice(0, key.lastIndexOf('@')), load);
			}
		}

		return loads;
	}

	place(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): Placement {
		const untried = endpoints.filter(({name}) => !request.tried.has(name));
		const awake = untried.filter(endpoint => !isLoading(request, endpoint));
		const reached = awake.filter(endpoint => !this.#outlookOf(endpoint).isUnreachable && !this.isSilent(endpoint, now));
		const closed = reached.filter(endpoint => !this.#outlookOf(endpoint).isOpen(now));
		// With every endpoint left alone, the rest would be refused though one may be back; then all are tried.
		const inView = [closed, reached, awake, untried].find(({length}) => length > 0) ?? [];
		if (inView.length === 0) {
			return {kind: 'none', reason: 'no-endpoint', retryAfterMilliseconds: spreadRetry(noEndpointRetryMilliseconds, request.id)};
		}

		const candidates = inView
			.map(endpoint => this.#estimate(request, endpoint, homeOf(request, inView), now))
			.filter(({isAdmitted}) => isAdmitted);
		const [first, ...others] = candidates;
		if (first === undefined) {
			return {kind: 'none', reason: 'overloaded', retryAfterMilliseconds: this.#overloadRetry(request, inView, now)};
		}

		let best = first;
		for (const candidate of others) {
			best = candidate.cost < best.cost ? candidate : best;
		}

		return {kind: 'send', endpoint: best.endpoint, missingTokens: best.missingTokens};
	}

	observe(event: PlacementEvent, now: number): void {
		const {request, endpoint} = event;
		const outlook = this.#outlookOf(endpoint);
		switch (event.kind) {
			case 'sent': {
				outlook.sent(request.id, {rank: request.rank, unreadTokens: event.missingTokens, heldTokens: heldTokensOf(request)}, now);
				break;
			}

			case 'answered': {
				outlook.answered(request.id, event.load, now);
				if (request.prompt !== undefined) {
					this.#partsOf(endpoint, request).learn(scopeAt(request, endpoint), request.prompt.parts);
				}

				break;
			}

			case 'ended': {
				outlook.ended(request.id);
				if (event.outcome === 'failed' || event.outcome === 'unreachable') {
					outlook.failed(now);
				}

				if (event.outcome === 'unreachable') {
					outlook.unreachable(now);
					this.#unreachable.set(keyOf(endpoint), endpoint);
				}

				break;
			}
		}
	}

	dueProbes(now: number): EndpointRecord[] {
		return [...this.#unreachable.values()].filter(endpoint => this.#outlookOf(endpoint).isProbeDue(now));
	}

	probed(endpoint: EndpointRecord, isReached: boolean, now: number): void {
		this.#outlookOf(endpoint).probed(isReached, now);
		if (isReached) {
			this.#unreachable.delete(keyOf(endpoint));
		}
	}

	forget(endpoint: EndpointRecord): void {
		this.#unreachable.delete(keyOf(endpoint));
		this.#outlooks.delete(keyOf(endpoint));
		this.#parts.delete(keyOf(endpoint));
	}

	heard(endpoint: EndpointRecord, now: number): void {
		this.#outlookOf(endpoint).heard(now);
	}

	isSilent(endpoint: EndpointRecord, now: number): boolean {
		return isSilent(this.#loadAt(endpoint, now).load);
	}

	/** When a refused caller finds room again: when the least laden engine has read what lies before such a prompt. */
	#overloadRetry(request: PlacementRequest, endpoints: readonly EndpointRecord[], now: number): number {
		const waits = endpoints.map(endpoint => unreadBefore(this.#loadAt(endpoint, now).load, request.rank) / prefillTokensPerMillisecond);
		const wait = Math.min(longestOverloadRetryMilliseconds, overloadRetryMilliseconds + Math.min(...waits));
		return spreadRetry(wait, request.id);
	}

	/** What all instances have under way at an endpoint, as far as known here. */
	#loadAt(endpoint: EndpointRecord, now: number): {load: EndpointLoad; isWhole: boolean} {
		const own = this.#outlookOf(endpoint).loadAt(now);
		const others = this.#othersAt(endpoint.name, now);
		return {load: addLoads(own, others ?? noLoad), isWhole: others !== undefined};
	}

	#estimate(request: PlacementRequest, endpoint: EndpointRecord, home: EndpointRecord | undefined, now: number): Candidate {
		const {load, isWhole} = this.#loadAt(endpoint, now);
		const reported = isWhole ? undefined : this.#outlookOf(endpoint).reportedOccupancy(now);
		const occupancy = Math.max(load.requests, reported ?? 0);
		const slots = Math.max(1, endpoint.slots);
		const distance = endpoint.dataCentre === this.#dataCentre ? 0 : otherDataCentreMilliseconds;
		const hasRoom = occupancy < fullShare * slots;
		if (request.prompt === undefined) {
			const cost = (callMilliseconds * occupancy / slots) + distance;
			return {
				endpoint, cost, isAdmitted: hasRoom, missingTokens: 0,
			};
		}

		const {readTokens, fetchTokens} = this.#workAt(request, endpoint, home);
		const work = (rereadWeight * readTokens / prefillTokensPerMillisecond) + (fetchTokens / fetchTokensPerMillisecond);
		const wait = unreadBefore(load, request.rank) / prefillTokensPerMillisecond;
		const occupied = (runningMilliseconds * occupancy) + (waitingMilliseconds * Math.max(0, occupancy - slots));
		const weights = isBehind(request, endpoint) ? oldWeightsMilliseconds : 0;
		return {
			endpoint, cost: work + wait + occupied + distance + weights, isAdmitted: hasRoom && this.#admits(request, readTokens, isWhole ? load : undefined), missingTokens: readTokens,
		};
	}

	/** Without the other instances' work nothing can be said; the engine's own queue decides then. */
	#admits(request: PlacementRequest, readTokens: number, load: EndpointLoad | undefined): boolean {
		const capacityTokens = request.engine?.capacityTokens ?? 0;
		if (load === undefined || capacityTokens === 0) {
			return true;
		}

		return admitsPrompt({
			rank: request.rank, objectiveMilliseconds: request.objectiveMilliseconds, heldTokens: heldTokensOf(request), readTokens,
		}, load, {capacityTokens, tokensPerMillisecond: prefillTokensPerMillisecond});
	}

	/** Tokens of a prompt that an engine would read, and those that it would fetch from stores. */
	#workAt(request: PlacementRequest, endpoint: EndpointRecord, home: EndpointRecord | undefined): {readTokens: number; fetchTokens: number} {
		const {promptTokens, parts} = request.prompt!;
		const shared = parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0);
		const presumed = endpoint.name === home?.name ? shared : 0;
		const kept = Math.max(presumed, this.#partsOf(endpoint, request).leadingTokens(scopeAt(request, endpoint), parts));
		const version = endpoint.weightVersions.get(request.prompt!.model);
		const fetchTokens = version === undefined ? 0 : Math.max(0, request.storedTokensUnder(version) - kept);
		return {readTokens: Math.max(0, promptTokens - kept - fetchTokens), fetchTokens};
	}

	#outlookOf(endpoint: EndpointRecord): EndpointOutlook {
		const key = keyOf(endpoint);
		const known = this.#outlooks.get(key);
		if (known !== undefined) {
			return known;
		}

		const outlook = new EndpointOutlook();
		this.#outlooks.set(key, outlook);
		return outlook;
	}

	#partsOf(endpoint: EndpointRecord, request: PlacementRequest): BelievedParts {
		const key = keyOf(endpoint);
		const known = this.#parts.get(key);
		if (known !== undefined) {
			return known;
		}

		const parts = new BelievedParts(request.engine?.capacityTokens ?? 0);
		this.#parts.set(key, parts);
		return parts;
	}
}

/** The engine that keeps the last part that this prompt shares with others. */
function homeOf({prompt, cacheScope}: PlacementRequest, endpoints: readonly EndpointRecord[]): EndpointRecord | undefined {
	const part = prompt?.parts.at(-2) ?? prompt?.parts.at(-1);
	if (part === undefined) {
		return undefined;
	}

	let home: EndpointRecord | undefined;
	let highest = -1;
	for (const endpoint of endpoints) {
		const hash = hashOf(`${cacheScope}|${part.id}|${endpoint.name}`);
		if (hash > highest) {
			home = endpoint;
			highest = hash;
		}
	}

	return home;
}

/** Memory that a prompt needs from its start to its end. */
function heldTokensOf({prompt}: PlacementRequest): number {
	return prompt === undefined ? 0 : prompt.promptTokens + prompt.mostOutputTokens;
}

/** Whether the engine has older weights than were named for the model. */
function isBehind({prompt, wantedVersion}: PlacementRequest, {weightVersions}: EndpointRecord): boolean {
	return wantedVersion !== undefined && prompt !== undefined && (weightVersions.get(prompt.model) ?? 0) < wantedVersion;
}

/** Whether the engine loads weights; one that shows the named weights is done, whatever an old hint says. */
function isLoading(request: PlacementRequest, endpoint: EndpointRecord): boolean {
	return request.loading.has(endpoint.name) && isBehind(request, endpoint);
}

/** Parts that were made under other weights are not found. */
function scopeAt({cacheScope, prompt}: PlacementRequest, {weightVersions}: EndpointRecord): string {
	return `${cacheScope}@${weightVersions.get(prompt?.model ?? '') ?? 0}`;
}

/** One incarnation of an endpoint. */
function keyOf({name, bornAt}: EndpointRecord): string {
	return `${name}@${bornAt}`;
}
