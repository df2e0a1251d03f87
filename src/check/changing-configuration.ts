/**
 * The configurations of the check of configuration changes: each version differs from the one before in timeouts, limits, keys,
 * services, kinds, attempts or priorities, and some routes and workspaces come and go.
 */
import {type JsonValue} from '../shared/types.js';
import {type Choices} from './choices.js';
import {type GatewayDeployment, host, routeFieldNames} from './gateway-deployment.js';

/** The routes, and between which services each of them moves. */
const routes = {
	lookup: {kind: 'idempotent', max_attempts: 3, services: ['desk', 'yard']},
	order: {kind: 'non_idempotent', max_attempts: 1, services: ['desk', 'yard']},
	feed: {kind: 'stream', max_attempts: 1, services: ['desk', 'yard']},
	replay: {
		kind: 'stream', resumable: true, max_attempts: 3, services: ['desk', 'yard'],
	},
	prompt: {
		kind: 'stream', resumable: true, max_attempts: 3, sticky: true, services: ['pool'],
	},
	draft: {
		kind: 'stream', max_attempts: 1, sticky: true, services: ['pool'],
	},
} as const;

export type ChangingRoute = keyof typeof routes;
export const changingRoutes = Object.keys(routes) as ChangingRoute[];
export const plainServices = ['desk', 'yard'] as const;
export const engineService = 'pool';

/** Longer than answers take, except on the routes whose requests may also reach it. */
const timeoutMilliseconds = [5500, 9000] as const;
const shortTimeoutMilliseconds = [1500, 9000] as const;
const shortTimeoutRoutes: ReadonlySet<ChangingRoute> = new Set(['order', 'feed']);
const idleMilliseconds = [600, 3000] as const;
const headerMilliseconds = [1000, 6000] as const;
const headerBytes = [2000, 16_384] as const;
const bodyBytes = [3000, 100_000] as const;
/** The last one comes and goes, and so does the second key of each. */
const workspaces = ['north', 'south', 'east'] as const;
const goneShare = 8;
/** Instances may hold the version before for this long. */
const appliedMilliseconds = 3000;
/** The timeout of a request is fixed when its head is read. */
const readMilliseconds = 1000;

/** A version that is or was in force. */
type Version = {at: number; idleMilliseconds: number; timeouts: Partial<Record<ChangingRoute, number>>};

export class ChangingConfiguration {
	readonly #deployment: GatewayDeployment;
	readonly #choices: Choices;
	#versions: Version[] = [];

	constructor(deployment: GatewayDeployment, choices: Choices) {
		this.#deployment = deployment;
		this.#choices = choices;
	}

	/** Writes another version. The first one has all routes. */
	change(now: number): void {
		const isFirst = this.#versions.length === 0;
		const present = changingRoutes.filter(() => isFirst || !this.#choices.chance(goneShare));
		const version: Version = {at: now, idleMilliseconds: this.#choices.between(...idleMilliseconds), timeouts: {}};
		const rows = present.map(name => {
			const [shortest, longest] = shortTimeoutRoutes.has(name) ? shortTimeoutMilliseconds : timeoutMilliseconds;
			const milliseconds = this.#choices.between(shortest, longest);
			version.timeouts[name] = milliseconds;
			return this.#routeRow(name, milliseconds);
		});
		this.#versions = [...this.#versions, version];
		this.#deployment.configure(rows, {
			tenants: this.#tenants(isFirst),
			limits: {
				max_header_bytes: this.#choices.between(...headerBytes),
				max_body_bytes: this.#choices.between(...bodyBytes),
				header_timeout_ms: this.#choices.between(...headerMilliseconds),
				idle_timeout_ms: version.idleMilliseconds,
			},
		});
	}

	/** The shortest timeout that an instance may apply to a request that was sent at a time, in milliseconds. */
	shortestTimeout(route: ChangingRoute, sentAt: number): number {
		return Math.min(...this.#inForce(sentAt, sentAt + readMilliseconds).map(({timeouts}) => timeouts[route] ?? Number.POSITIVE_INFINITY));
	}

	/** The shortest idle timeout that an instance may apply, in milliseconds. */
	shortestIdleTimeout(now: number): number {
		return Math.min(...this.#inForce(now, now).map(version => version.idleMilliseconds));
	}

	/** A key that may or may not be known at present. */
	anyKey(): string {
		return keyOf(this.#choices.oneOf(workspaces), this.#choices.chance(20) ? 2 : 1);
	}

	#routeRow(name: ChangingRoute, milliseconds: number): JsonValue {
		const {services, ...route} = routes[name];
		return {
			...route,
			name,
			prefix: `/${name}/`,
			host,
			...this.#targets(services),
			...(route.max_attempts > 1 ? {max_attempts: this.#choices.between(1, 3)} : {}),
			timeout_ms: milliseconds,
			target_latency_ms: 600,
			gap_aim_ms: 800,
			priority: this.#choices.between(0, 3),
			[routeFieldNames.needsNoKey]: this.#choices.chance(20),
		};
	}

	#targets(services: readonly string[]): Record<string, JsonValue> {
		return this.#choices.chance(30)
			? {[routeFieldNames.weightedTargets]: services.map(service => ({service, weight: this.#choices.between(1, 4)}))}
			: {service: this.#choices.oneOf(services)};
	}

	#tenants(isFirst: boolean): JsonValue[] {
		return workspaces.filter(name => isFirst || name !== 'east' || this.#choices.chance(50)).map(name => ({
			name,
			api_keys: this.#choices.chance(50) ? [keyOf(name, 1), keyOf(name, 2)] : [keyOf(name, 1)],
			isolated: this.#choices.chance(30),
			...(this.#choices.chance(50) ? {priority: this.#choices.between(0, 3)} : {}),
		}));
	}

	#inForce(from: number, to: number): Version[] {
		const replacedAt = (index: number): number => this.#versions[index + 1]?.at ?? Number.POSITIVE_INFINITY;
		return this.#versions.filter(({at}, index) => at <= to && replacedAt(index) + appliedMilliseconds >= from);
	}
}

function keyOf(workspace: string, number: number): string {
	return `${workspace}-key-${number}`;
}
