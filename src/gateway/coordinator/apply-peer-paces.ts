import {incarnationMarkOf, type PaceReport} from '../../decision/pace/pace-report.js';
import {type CostPlacement} from '../../decision/placement/cost-placement.js';
import {type EndpointRegistry} from '../endpoints/endpoint-registry.js';

/**
 * Takes paces that other instances have read; those of endpoints that are not listed, or listed as another incarnation, are
 * ignored.
 *
 * @param now - When the figures had their ages, in milliseconds of the steady clock.
 */
export function applyPeerPaces(paces: readonly PaceReport[], now: number, {endpoints, placement}: {endpoints: Pick<EndpointRegistry, 'byName'>; placement: Pick<CostPlacement, 'notePeerPace'>}): void {
	for (const [name, mark, percent, ageMilliseconds] of paces) {
		const endpoint = endpoints.byName(name);
		if (endpoint !== undefined && incarnationMarkOf(endpoint) === mark) {
			placement.notePeerPace(endpoint, percent, now - ageMilliseconds);
		}
	}
}
