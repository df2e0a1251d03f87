import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** Whether two records state the same weights, by model and version, and the same readiness to serve them. */
export function hasSameWeights(one: EndpointRecord, other: EndpointRecord): boolean {
	return one.state === other.state && one.weightVersions.size === other.weightVersions.size
		&& [...one.weightVersions].every(([model, version]) => other.weightVersions.get(model) === version);
}
