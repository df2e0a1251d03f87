import {type DeclaredRanks} from '../../decision/urgency/urgency.js';
import {type PermittedRequest} from './validate-request.js';

/** Returns the ranks that the workspace and the route of a request declare. */
export function declaredRanksOf({grant, route}: Pick<PermittedRequest, 'grant' | 'route'>): DeclaredRanks {
	return {workspaceRank: grant?.rank, routeRank: route.rank};
}
