/** Builds the description of a request by which it is placed on an endpoint. */
import {type PlacementRequest} from '../../decision/placement/placement.js';
import {type GatewayContext} from '../gateway-context.js';
import {declaredRanksOf} from './declared-ranks.js';
import {cacheScopeOf} from './endpoint-headers.js';
import {type PermittedRequest} from './validate-request.js';
import {type PromptBlockSources} from './prompt-block-sources.js';
import {type RequestHead} from './request-head.js';

type DescribedRequest = {head: RequestHead; permitted: PermittedRequest};

/**
 * Describes a request for its placement.
 *
 * @param context - The state of this instance.
 * @param work - The request.
 * @param attempted - The endpoints that the request was already sent to.
 * @param sources - Where the blocks of its prompt are cached.
 */
export function placementRequestOf(context: GatewayContext, {head, permitted}: DescribedRequest, attempted: ReadonlySet<string>, sources: PromptBlockSources): PlacementRequest {
	const now = context.clock.moment();
	const goal = context.weightTargets.targetFor(head.prompt?.model ?? '');
	return {
		id: head.attemptId,
		service: permitted.service,
		rank: context.urgency.admissionRank(declaredRanksOf(permitted)),
		objectiveMilliseconds: permitted.route.objectiveMilliseconds,
		prompt: permitted.route.carriesPrompt ? head.prompt : undefined,
		cacheScope: cacheScopeOf(permitted),
		engine: context.configuration.current?.services.get(permitted.service)?.engine,
		attempted,
		fetchMillisecondsAt: endpoint => sources.fetchMillisecondsAt(endpoint),
		cachedTokensAt: endpoint => sources.cachedTokensAt(endpoint),
		wantedVersion: goal?.version,
		olderWeightsUntil: weightVersion => goal === undefined ? Number.POSITIVE_INFINITY : now.steady + context.weightTargets.remainingMilliseconds(goal, now, weightVersion),
		loading: context.loadingEngines.current,
	};
}
