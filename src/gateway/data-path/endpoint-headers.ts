/** Builds the headers of a request to an endpoint: the client's, without those that only the system may set, and the system's. */
import {cacheSalt} from '../../protocol/blocks/cache-salt.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type PermittedRequest} from './validate-request.js';
import {withoutHopByHop} from './hop-by-hop.js';
import {type RequestHead} from './request-head.js';
import {type WireNames} from './wire-names.js';

/** Addresses for each block of the prompt, by index. Unfinished fetches are abandoned at `fetchUntil`, by the engines' clock. */
export type BlockTransfers = {
	fetchFrom: ReadonlyArray<string | undefined>;
	saveTo: ReadonlyArray<string | undefined>;
	fetchUntil: number;
};

/** One send of a request. */
export type SendPlan = {
	head: RequestHead;
	permitted: PermittedRequest;
	endpoint: EndpointRecord;
	/** The rank by which an engine orders it; 0 is the most urgent. */
	engineRank: number;
	/** Time until the deadline of the caller or the timeout of the route. */
	remainingMilliseconds: number;
	bodyBytes: number;
	/** Id of the event after which a resumed stream continues. */
	lastEventId: string | undefined;
	/** The blocks that the engine fetches and saves; `undefined` for none. */
	blockTransfers: BlockTransfers | undefined;
};

/** The least urgent rank at engines; less urgent declared ranks are clamped to it. */
const maxEngineRank = 9;

/**
 * Builds the headers of one send.
 *
 * @param plan - The send.
 * @param names - The names of the headers.
 * @returns Alternating names and values.
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

	add(names.deadline, String(Math.max(1, Math.floor(plan.remainingMilliseconds))));
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
 * Adds the headers for engines.
 *
 * A block that was computed with other weights, or by another workspace where one of them is isolated, must never be used.
 * The salt names both, and the engine rejects the request if it no longer has those weights, so no block under this salt was
 * computed otherwise.
 */
function addPromptHeaders({head, permitted, endpoint, engineRank, blockTransfers}: SendPlan, names: WireNames, add: (name: string, value: string) => void): void {
	if (head.prompt === undefined || !permitted.route.carriesPrompt) {
		return;
	}

	const version = endpoint.weightVersions.get(head.prompt.model);
	if (version !== undefined) {
		add(names.expectedVersion, String(version));
	}

	// With unknown weights nothing may be shared, so the request gets a unique salt.
	add(names.cacheSalt, version === undefined ? `once-${head.attemptId}` : cacheSalt(cacheScopeOf(permitted), version));
	add(names.engineRank, String(Math.min(maxEngineRank, engineRank)));
	if (blockTransfers?.fetchFrom.some(address => address !== undefined)) {
		add(names.fetchFrom, addressList(blockTransfers.fetchFrom, head.prompt.blocks.length));
		add(names.fetchUntil, String(Math.floor(blockTransfers.fetchUntil)));
	}

	if (blockTransfers?.saveTo.some(address => address !== undefined)) {
		add(names.saveTo, addressList(blockTransfers.saveTo, head.prompt.blocks.length));
	}
}

/** Formats one entry for each block of the prompt. */
function addressList(addresses: ReadonlyArray<string | undefined>, length: number): string {
	return Array.from({length}, (_, index) => addresses[index] ?? '-').join(',');
}

/** Which workspaces share cached blocks: an isolated workspace shares with none, all others with each other. */
export function cacheScopeOf({grant}: PermittedRequest): string {
	return grant?.isIsolated ? `workspace-${grant.name}` : 'shared';
}

function hasBodyByMethod({method, rawHeaders}: RequestHead): boolean {
	const declares = rawHeaders.some((text, index) => index % 2 === 0 && /^(?:content-length|transfer-encoding)$/iv.test(text));
	return declares && method !== 'GET' && method !== 'HEAD';
}
