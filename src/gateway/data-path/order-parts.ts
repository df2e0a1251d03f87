/** What an engine is told to fetch from cache stores and to save there, out of what this instance knows of them now. */
import {type NamedStore, type StoreKnowledge, storeOf} from '../../decision/parts/plan-parts.js';
import {type Moment} from '../../ports/moment-clock.js';
import {fetchMilliseconds} from '../../protocol/parts/part-times.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type GatewayContext} from '../gateway-context.js';
import {type PromptPart} from '../../shared/prompt-shape.js';
import {cacheSalt, cacheScopeOf, type PartOrders} from './endpoint-headers.js';
import {type PermittedRequest} from './judge-request.js';
import {type RequestHead} from './request-head.js';

type PartContext = Pick<GatewayContext, 'clock' | 'configuration' | 'hubView' | 'partPlanner'>;
type PromptWork = {head: RequestHead; permitted: PermittedRequest};

/**
 * Plans the parts of one send.
 *
 * @returns The orders; `undefined` where the request has no shared parts, or nothing fresh is known of the stores.
 */
export function orderParts(context: PartContext, {head, permitted}: PromptWork, endpoint: EndpointRecord): PartOrders | undefined {
	const version = endpoint.weightVersions.get(head.prompt?.model ?? '');
	const now = context.clock.moment();
	const engineClock = context.hubView.engineClock(now);
	const parts = sharedParts(head);
	if (!permitted.route.carriesPrompt || version === undefined || engineClock === undefined || parts.length === 0) {
		return undefined;
	}

	const salt = cacheSalt(cacheScopeOf(permitted), version);
	const plan = context.partPlanner.plan(parts, salt, {stores: storesOf(context), known: knowledgeAt(context, now)}, now.steady);
	for (const key of plan.used) {
		context.hubView.noteUse(key);
	}

	return {fetchFrom: plan.fetchFrom, saveTo: plan.saveTo, fetchUntil: engineClock + fetchMilliseconds};
}

/** Tokens of the leading shared parts that stores hold under a version of the weights. */
export function storedTokensOf(context: PartContext, {head, permitted}: PromptWork, version: number): number {
	const stores = storesOf(context);
	const known = knowledgeAt(context, context.clock.moment());
	const salt = cacheSalt(cacheScopeOf(permitted), version);
	let tokens = 0;
	for (const part of sharedParts(head)) {
		const home = storeOf(part.id, stores);
		if (home === undefined || !known.holds(home.name, `${salt}|${part.id}`)) {
			break;
		}

		tokens += part.tokens;
	}

	return tokens;
}

/** All parts but the last, which is the request's own. */
function sharedParts({prompt}: RequestHead): readonly PromptPart[] {
	return prompt?.parts.slice(0, -1) ?? [];
}

function storesOf({configuration}: PartContext): NamedStore[] {
	const services = configuration.current?.services.values() ?? [];
	return [...services].flatMap(({name, store}) => store?.isManaged ? [{name, store}] : []);
}

function knowledgeAt({hubView}: PartContext, now: Moment): StoreKnowledge {
	return {
		isOpen: store => hubView.isOpen(store, now),
		holds: (store, key) => hubView.holds(store, key, now),
	};
}
