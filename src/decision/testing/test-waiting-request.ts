import {type WaitingRequest} from '../waiting/waiting-request.js';

/** A request that arrived at 0; a test gives only the fields that matter to it. */
export function testWaitingRequest(id: string, changes: Partial<WaitingRequest> = {}): WaitingRequest {
	const {objectiveMilliseconds = 400} = changes;
	return {
		id, lane: 'desk', service: 'desk', isPrompt: false, rank: 1, workspace: 'harbour', work: 1, bytes: 100, objectiveMilliseconds, objectiveAt: objectiveMilliseconds, deadlineAt: 4000, ...changes,
	};
}
