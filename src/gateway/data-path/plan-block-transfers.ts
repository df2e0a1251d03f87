/** Plans which blocks an engine fetches from cache stores and other engines, and which it saves to cache stores. */
import {fetchTimeoutMilliseconds} from '../../protocol/blocks/block-times.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type GatewayContext} from '../gateway-context.js';
import {type BlockTransfers} from './endpoint-headers.js';
import {type PermittedRequest} from './validate-request.js';
import {PromptBlockSources, type SourceContext} from './prompt-block-sources.js';
import {type RequestHead} from './request-head.js';

type BlockTransferContext = SourceContext & Pick<GatewayContext, 'blockPlanner'>;

/**
 * Plans the block transfers for one send of a request.
 *
 * @returns The transfers; `undefined` where the request has no shared blocks, or where nothing recent is known about stores
 * and engines.
 */
export function planBlockTransfers(context: BlockTransferContext, {head, permitted}: {head: RequestHead; permitted: PermittedRequest}, endpoint: EndpointRecord): BlockTransfers | undefined {
	const version = endpoint.weightVersions.get(head.prompt?.model ?? '');
	const now = context.clock.moment();
	const engineClock = context.coordinatorView.engineClock(now);
	const sources = new PromptBlockSources(context, head, permitted);
	if (!permitted.route.carriesPrompt || version === undefined || engineClock === undefined || sources.sharedBlocks.length === 0) {
		return undefined;
	}

	const known = sources.blockLocatorFor(endpoint);
	const plan = context.blockPlanner.plan(sources.sharedBlocks, sources.saltUnder(version), {stores: sources.stores, known}, now.steady);
	for (const key of plan.used) {
		context.coordinatorView.recordUse(key);
	}

	return {fetchFrom: plan.fetchFrom, saveTo: plan.saveTo, fetchUntil: engineClock + fetchTimeoutMilliseconds};
}
