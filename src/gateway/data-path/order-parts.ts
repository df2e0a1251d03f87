/** Plans which blocks an engine fetches from cache stores and other engines, and which it saves to cache stores. */
import {fetchTimeoutMilliseconds} from '../../protocol/blocks/block-times.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type GatewayContext} from '../gateway-context.js';
import {type PartOrders} from './endpoint-headers.js';
import {type PermittedRequest} from './judge-request.js';
import {PromptSources, type SourceContext} from './prompt-sources.js';
import {type RequestHead} from './request-head.js';

type PartContext = SourceContext & Pick<GatewayContext, 'partPlanner'>;

/**
 * Plans the block transfers for one send of a request.
 *
 * @returns The transfers; `undefined` where the request has no shared blocks, or where nothing recent is known about stores
 * and engines.
 */
export function orderParts(context: PartContext, {head, permitted}: {head: RequestHead; permitted: PermittedRequest}, endpoint: EndpointRecord): PartOrders | undefined {
	const version = endpoint.weightVersions.get(head.prompt?.model ?? '');
	const now = context.clock.moment();
	const engineClock = context.hubView.engineClock(now);
	const sources = new PromptSources(context, head, permitted);
	if (!permitted.route.carriesPrompt || version === undefined || engineClock === undefined || sources.sharedParts.length === 0) {
		return undefined;
	}

	const known = sources.knowledgeFor(endpoint);
	const plan = context.partPlanner.plan(sources.sharedParts, sources.saltUnder(version), {stores: sources.stores, known}, now.steady);
	for (const key of plan.used) {
		context.hubView.noteUse(key);
	}

	return {fetchFrom: plan.fetchFrom, saveTo: plan.saveTo, fetchUntil: engineClock + fetchTimeoutMilliseconds};
}
