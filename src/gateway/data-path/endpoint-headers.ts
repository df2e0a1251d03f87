/** Builds the headers that an endpoint gets: the client's own, without those that only the system may set, and ours. */
import {cacheSalt} from '../../protocol/parts/cache-salt.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type PermittedRequest} from './judge-request.js';
import {withoutHopByHop} from './hop-by-hop.js';
import {type RequestHead} from './request-head.js';
import {type WireNames} from './wire-names.js';

/** Addresses by part of the prompt; fetches are thrown away behind `fetchUntil`, on the engines' clock. */
export type PartOrders = {
	fetchFrom: ReadonlyArray<string | undefined>;
	saveTo: ReadonlyArray<string | undefined>;
	fetchUntil: number;
};

/** One send of a request. */
export type SendPlan = {
	head: RequestHead;
	permitted: PermittedRequest;
	endpoint: EndpointRecord;
	/** What is left of the caller's patience and of the route's time-out. */
	leftMilliseconds: number;
	bodyBytes: number;
	/** Where a resumed stream goes on. */
	lastEventId: string | undefined;
	/** Which parts the engine fetches from stores and saves there; absent for none. */
	parts: PartOrders | undefined;
};

/** Ranks at engines; the least urgent declared rank is clamped to the last one. */
const lastEngineRank = 9;

/**
 * Gives the headers of a send.
 *
 * @param plan - The send.
 * @param names - How headers are spelled.
 * @returns Names and values by turns.
 */
export function endpointHeaders(plan: SendPlan, names: WireNames): string[] {
	const {head, permitted, endpoint} = plan;
	const dropped = new Set([...names.reserved, names.workspaceKey, names.deadline, 'content-length']);
	if (plan.lastEventId !== undefined) {
		dropped.add(names.lastEventId);
	}

	const headers = withoutHopByHop(head.rawHeaders, head.connection, dropped);
	const add = (name: string, value: string): void => {
		headers.push(name, value);
	};

	add(names.deadline, String(Math.max(1, Math.floor(plan.leftMilliseconds))));
	add(names.expectedEndpoint, endpoint.name);
	if (permitted.grant !== undefined) {
		add(names.workspace, permitted.grant.name);
	}

	if (plan.lastEventId !== undefined) {
		add(names.lastEventId, plan.lastEventId);
	}

	if (plan.bodyBytes > 0 || hasBodyByMethod(head)) {
		add('content-length', String(plan.bodyBytes));
	}

	addPromptHeaders(plan, names, add);
	return headers;
}

/**
 * Headers for engines.
 *
 * A part that was made under other weights, or by another workspace where one is isolated, must never be used. The salt
 * names both, and the engine refuses the request if its weights are no longer those; so no part under this salt was made
 * otherwise.
 */
function addPromptHeaders({head, permitted, endpoint, parts}: SendPlan, names: WireNames, add: (name: string, value: string) => void): void {
	if (head.prompt === undefined || !permitted.route.carriesPrompt) {
		return;
	}

	const version = endpoint.weightVersions.get(head.prompt.model);
	if (version !== undefined) {
		add(names.expectedVersion, String(version));
	}

	// Of unknown weights nothing may be shared: the request gets a salt that no other has.
	add(names.cacheSalt, version === undefined ? `once-${head.attemptId}` : cacheSalt(cacheScopeOf(permitted), version));
	add(names.engineRank, String(Math.min(lastEngineRank, permitted.rank)));
	if (parts?.fetchFrom.some(address => address !== undefined)) {
		add(names.fetchFrom, partList(parts.fetchFrom, head.prompt.parts.length));
		add(names.fetchUntil, String(Math.floor(parts.fetchUntil)));
	}

	if (parts?.saveTo.some(address => address !== undefined)) {
		add(names.saveTo, partList(parts.saveTo, head.prompt.parts.length));
	}
}

/** One entry for each part of the prompt. */
function partList(addresses: ReadonlyArray<string | undefined>, length: number): string {
	return Array.from({length}, (_, index) => addresses[index] ?? '-').join(',');
}

/** Who shares cached parts: an isolated workspace with nobody, the others with each other. */
export function cacheScopeOf({grant}: PermittedRequest): string {
	return grant?.isIsolated ? `workspace-${grant.name}` : 'shared';
}

function hasBodyByMethod({method, rawHeaders}: RequestHead): boolean {
	const declares = rawHeaders.some((text, index) => index % 2 === 0 && /^(?:content-length|transfer-encoding)$/iv.test(text));
	return declares && method !== 'GET' && method !== 'HEAD';
}
