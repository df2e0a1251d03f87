import {type ServiceDemand} from '../../decision/shares/service-demand.js';
import {type WorkspaceShares} from './workspace-shares.js';

/**
 * Returns what a frame to the coordinator says about the demand at this instance.
 *
 * @param shares - Absent where the settings enable no shares.
 * @returns Nothing without new counts, so that frames of other deployments are unchanged.
 */
export function demandField(shares: Pick<WorkspaceShares, 'takeDemand'> | undefined): {demand?: ServiceDemand[]} {
	const demand = shares?.takeDemand() ?? [];
	return demand.length === 0 ? {} : {demand};
}
