/** How long a stream of a service may last over all tries of its caller, by the routes that lead to the service. */
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {longestStreamMilliseconds} from '../endpoints/version-history.js';

/** A caller may notice a little late that its time is over. */
const marginMilliseconds = 1000;

/**
 * Returns the time after which no stream of a service that began then is taken up any more.
 *
 * @param configuration - The present configuration; `undefined` before the first one.
 * @param service - The name of the service.
 * @returns Milliseconds; the longest that is remembered of any service if no route tells.
 */
export function longestStreamOf(configuration: Pick<RoutedConfiguration, 'routes'> | undefined, service: string): number {
	const timeouts = (configuration?.routes ?? [])
		.filter(({kind, targets}) => kind === 'resumable-stream' && targets.some(target => target.service === service))
		.map(({timeoutMilliseconds}) => timeoutMilliseconds + marginMilliseconds);
	return timeouts.length === 0 ? longestStreamMilliseconds : Math.min(longestStreamMilliseconds, Math.max(...timeouts));
}
