import {type PlacementRequest} from '../placement/placement.js';

/** A prompt of 640 tokens that shares no block and is cached nowhere; a test changes only what it is about. */
export function testPromptRequest(changes: Partial<PlacementRequest> = {}): PlacementRequest {
	return {
		id: 'a',
		service: 'engines',
		rank: 1,
		objectiveMilliseconds: 600,
		prompt: {
			model: 'lease', promptTokens: 640, maxOutputTokens: 20, blocks: [{id: 'own', tokens: 640}],
		},
		cacheScope: 'shared',
		engine: {
			slots: 12, capacityTokens: 75_000, bytesPerToken: 327_680, linkMegabitsPerSecond: 260_000, models: ['lease'],
		},
		attempted: new Set(),
		wantedVersion: undefined,
		olderWeightsUntil: () => Number.POSITIVE_INFINITY,
		fetchMillisecondsAt: () => [],
		cachedTokensAt: () => [0],
		loading: new Set(),
		...changes,
	};
}
