import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** An endpoint of the plain service `desk`; each test names only what it is about. */
export function testEndpoint(changes: Partial<EndpointRecord> = {}): EndpointRecord {
	return {
		name: 'desk-1',
		service: 'desk',
		address: '127.0.0.1:1',
		dataCentre: 'split',
		slots: 6,
		state: 'ready',
		bornAt: 1,
		weightVersions: new Map(),
		...changes,
	};
}
