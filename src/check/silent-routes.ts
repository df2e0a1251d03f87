/** The routes of the checks of silent endpoints, one of which a run uses. Prompts go to engines, the others to a plain service. */
import {type JsonValue} from '../shared/types.js';
import {host, routeFieldNames} from './gateway-deployment.js';

const routes = {
	'prompt-resumable': {
		kind: 'stream', resumable: true, max_attempts: 3, sticky: true,
	},
	'prompt-resumable-one-attempt': {
		kind: 'stream', resumable: true, max_attempts: 1, sticky: true,
	},
	'prompt-once': {kind: 'stream', max_attempts: 1, sticky: true},
	resumable: {kind: 'stream', resumable: true, max_attempts: 3},
	idempotent: {kind: 'idempotent', max_attempts: 3},
	once: {kind: 'stream', max_attempts: 1},
} as const;

export type SilentRoute = keyof typeof routes;
export const silentRoutes = Object.keys(routes) as SilentRoute[];

export const service = 'desk';
export const model = 'model-1';
export const slots = 16;

const engine = {
	slots, kv_capacity_tokens: 200_000, kv_token_bytes: 1000, link_mbps: 1000, models: [{name: model}],
};

/**
 * The service of a route, as the configuration has it.
 *
 * @param connectionLimit - Connections that each of its endpoints accepts; 0 for any number.
 */
export function serviceRow(route: SilentRoute, connectionLimit = 0): JsonValue {
	return {name: service, [routeFieldNames.connectionLimit]: connectionLimit, ...(isPrompt(route) ? {engine} : {})};
}

/** A route, as the configuration has it. */
export function routeRow(route: SilentRoute, timeoutMilliseconds: number): Record<string, JsonValue> {
	return {
		...routes[route],
		name: route,
		prefix: pathOf(route),
		host,
		service,
		target_latency_ms: 600,
		gap_aim_ms: 800,
		timeout_ms: timeoutMilliseconds,
	};
}

export function pathOf(route: SilentRoute): string {
	return `/${route}/`;
}

export function isPrompt(route: SilentRoute): boolean {
	return 'sticky' in routes[route];
}

export function isStream(route: SilentRoute): boolean {
	return routes[route].kind === 'stream';
}
