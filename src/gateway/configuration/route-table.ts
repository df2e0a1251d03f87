/** Finds the route of a request: by host, then by the longest path prefix. */
import {type Route} from '../../shared/routed-configuration.js';

export class RouteTable {
	readonly #byHost = new Map<string, Route[]>();

	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			const host = route.host.toLowerCase();
			const known = this.#byHost.get(host) ?? [];
			known.push(route);
			this.#byHost.set(host, known);
		}

		for (const known of this.#byHost.values()) {
			known.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length);
		}
	}

	/**
	 * Finds the route of a request.
	 *
	 * The path is compared as it was sent. The endpoint gets the raw path, so a decoded or normalised path could select a
	 * route that is not meant for it.
	 *
	 * @param host - The `Host` header, with or without a port.
	 * @param target - The raw request target; its query is ignored.
	 * @returns The route with the longest prefix, or `undefined`.
	 */
	routeFor(host: string, target: string): Route | undefined {
		const [path = ''] = target.split('?', 1);
		const name = host.replace(/:\d+$/v, '').toLowerCase();
		return this.#byHost.get(name)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}
}
