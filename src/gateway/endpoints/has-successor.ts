/** Whether the process of an endpoint is known to have ended because another one has registered in its place. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type EndpointRegistry} from './endpoint-registry.js';

/**
 * Returns whether a later incarnation has registered under an endpoint's name or at its address. Two processes have neither in common.
 * One with the same name and address proves nothing: a restarted endpoint gets requests by its former row until its own one arrives.
 * Only rows that appeared after a time count: a row of an earlier process may be left over, with a later start if its clock was wrong.
 *
 * @param endpoints - The list.
 * @param endpoint - The endpoint.
 * @param since - When the endpoint was listed, in milliseconds of the steady clock.
 */
export function hasSuccessor(endpoints: Pick<EndpointRegistry, 'all' | 'appearances'>, {name, address, startedAt}: EndpointRecord, since: number): boolean {
	return startedAt > 0 && endpoints.all().some(other => (other.name === name) !== (other.address === address)
		&& other.startedAt > startedAt && endpoints.appearances.absentAt(other) >= since);
}
