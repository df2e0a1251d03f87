import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** Returns an endpoint of the plain service `desk`; a test gives only the fields that matter to it. */
export function testEndpoint(changes: Partial<EndpointRecord> = {}): EndpointRecord {
	return {
		name: 'desk-1',
		service: 'desk',
		address: '127.0.0.1:1',
		dataCentre: 'split',
		slots: 6,
		state: 'ready',
		startedAt: 1,
		sequence: 0,
		softwareVersion: 'v1',
		warmUpMilliseconds: 0,
		weightVersions: new Map(),
		...changes,
	};
}
