/** The endpoints of configured services: the platform's list may also hold entries of other programs. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';

/**
 * Returns the endpoints whose service is configured. An entry of another program looks like an endpoint of an unknown service; it
 * must not be examined, get orders, or stand for an endpoint in any other way.
 *
 * @param configuration - The present configuration; `undefined` before the first one.
 * @param listed - All endpoints of the list.
 * @returns Those that the configuration or a target of a route names; all of them before the first configuration.
 */
export function configuredEndpoints(configuration: Pick<RoutedConfiguration, 'services' | 'routes'> | undefined, listed: readonly EndpointRecord[]): readonly EndpointRecord[] {
	if (configuration === undefined) {
		return listed;
	}

	const {services, routes} = configuration;
	const names = new Set([...services.keys(), ...routes.flatMap(({targets}) => targets.map(({service}) => service))]);
	return listed.every(({service}) => names.has(service)) ? listed : listed.filter(({service}) => names.has(service));
}
