import {type WaitingRequest} from '../../decision/waiting/waiting-request.js';
import {type RoomSearchInputs} from './room-search-inputs.js';

/**
 * Describes a request for the queue.
 *
 * Requests of one lane can be served by the same endpoints: those of one service, model and set of regions. A stream that is
 * taken up again is bound to a version, so it does not hold up others.
 *
 * @param id - Its id in the queue.
 * @param inputs - The request.
 */
export function waitingRequestOf(id: string, {work: {head, permitted, continuation, body, arrivedAt}, deadline}: Pick<RoomSearchInputs, 'work' | 'deadline'>): WaitingRequest {
	const {route, service, rank, grant} = permitted;
	const prompt = route.carriesPrompt ? head.prompt : undefined;
	const regions = [...route.allowedRegions ?? [], '', ...grant?.allowedRegions ?? []];
	return {
		id,
		lane: [service, prompt?.model ?? '', continuation.isBound ? 'bound' : '', ...regions].join('|'),
		service,
		isPrompt: prompt !== undefined,
		rank,
		workspace: grant?.name ?? '',
		work: prompt === undefined ? 1 : prompt.promptTokens + prompt.maxOutputTokens,
		bytes: body.length + head.rawHeaders.reduce((sum, text) => sum + text.length, 0),
		objectiveMilliseconds: route.objectiveMilliseconds,
		objectiveAt: arrivedAt.steady + route.objectiveMilliseconds,
		deadlineAt: deadline,
	};
}
