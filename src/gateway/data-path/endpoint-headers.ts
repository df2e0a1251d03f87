/** Builds the headers that an endpoint gets: the client's own, without those that only the system may set, and ours. */
import {type EndpointRecord} from '../endpoints/endpoint-record.js';
import {type PermittedRequest} from './judge-request.js';
import {withoutHopByHop} from './hop-by-hop.js';
import {type RequestHead} from './request-head.js';
import {type WireNames} from './wire-names.js';

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
	/** Where the engine fetches what it lacks; absent for none. */
	fetchFrom: string | undefined;
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
function addPromptHeaders({head, permitted, endpoint, fetchFrom}: SendPlan, names: WireNames, add: (name: string, value: string) => void): void {
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
	if (fetchFrom !== undefined) {
		add(names.fetchFrom, fetchFrom);
	}
}

/** Who shares cached parts: an isolated workspace with nobody, the others with each other. */
export function cacheScopeOf({grant}: PermittedRequest): string {
	return grant?.isIsolated ? `workspace-${grant.name}` : 'shared';
}

/** The text under which an engine finds parts. */
export function cacheSalt(scope: string, version: number): string {
	return `${scope}-w${version}`;
}

function hasBodyByMethod({method, rawHeaders}: RequestHead): boolean {
	const declares = rawHeaders.some((text, index) => index % 2 === 0 && /^(?:content-length|transfer-encoding)$/iv.test(text));
	return declares && method !== 'GET' && method !== 'HEAD';
}
