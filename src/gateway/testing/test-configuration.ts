/** Routes and configurations for tests; a test gives only the fields that matter to it. */
import {type Route, type RoutedConfiguration, type RoutedService} from '../../shared/routed-configuration.js';

/** Returns a route to a plain, idempotent service that needs no key. */
export function testRoute(changes: Partial<Route> = {}): Route {
	return {
		name: 'route',
		host: 'quay.example',
		pathPrefix: '/',
		kind: 'idempotent',
		targets: [{service: 'desk', weight: 1}],
		timeoutMilliseconds: 2000,
		objectiveMilliseconds: 300,
		maxEventGapMilliseconds: 0,
		maxAttempts: 2,
		rank: 1,
		requiresKey: false,
		carriesPrompt: false,
		...changes,
	};
}

/** Returns a configuration with one plain service, `desk`, and one route unless others are given. */
export function testConfiguration(changes: Partial<RoutedConfiguration> = {}): RoutedConfiguration {
	return {
		version: 1,
		routes: [testRoute()],
		services: new Map<string, RoutedService>([['desk', {name: 'desk', connectionLimit: 100}]]),
		limits: {
			headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMilliseconds: 3000, idleTimeoutMilliseconds: 15_000,
		},
		...changes,
	};
}
