/** Parses the rows of the platform's store: the configuration and the weight versions of operators, and the endpoints. */
import {type Either, Left, Right} from 'purify-ts/Either';
import * as zod from 'zod';
import {
	type GrantedShare, type Route, type RoutedConfiguration, type RoutedService, type WorkspaceGrant,
} from '../shared/routed-configuration.js';
import {type EndpointRecord} from '../shared/endpoint-record.js';
import {splitAddress} from '../shared/split-address.js';
import {type StoreSchema, type OperatorRow} from '../gateway/watchers/store-schema.js';
import {type JsonValue} from '../shared/types.js';

const routeSchema = zod.object({
	name: zod.string(),
	host: zod.string(),
	prefix: zod.string(),
	kind: zod.enum(['idempotent', 'non_idempotent', 'stream']),
	resumable: zod.boolean().default(false),
	timeout_ms: zod.number(),
	target_latency_ms: zod.number().default(0),
	gap_aim_ms: zod.number().default(0),
	max_attempts: zod.number().default(1),
	priority: zod.number().default(0),
	no_auth: zod.boolean().default(false),
	sticky: zod.boolean().default(false),
	service: zod.string().optional(),
	allowed_regions: zod.array(zod.string()).optional(),
	traffic_split: zod.array(zod.object({service: zod.string(), weight: zod.number()})).optional(),
});

const engineSchema = zod.object({
	slots: zod.number(),
	kv_capacity_tokens: zod.number().default(0),
	kv_token_bytes: zod.number().default(0),
	link_mbps: zod.number().default(0),
	models: zod.array(zod.object({name: zod.string()})).default([]),
});

const serviceSchema = zod.object({
	name: zod.string(),
	max_conns: zod.number().default(0),
	cold_s: zod.number().default(0),
	cold_per_s: zod.number().default(0),
	engine: engineSchema.optional(),
	zone: zod.string().default(''),
	kv_store_addr: zod.string().optional(),
	kv_capacity_tokens: zod.number().default(0),
	link_mbps: zod.number().default(0),
	first_ms: zod.number().default(0),
	managed: zod.boolean().default(false),
});

const configurationSchema = zod.object({
	version: zod.number(),
	routes: zod.array(routeSchema),
	services: zod.array(serviceSchema),
	limits: zod.object({
		max_header_bytes: zod.number(),
		max_body_bytes: zod.number(),
		header_timeout_ms: zod.number(),
		idle_timeout_ms: zod.number(),
	}),
	tenants: zod.array(zod.object({
		name: zod.string(),
		api_keys: zod.array(zod.string()),
		priority: zod.number().optional(),
		isolated: zod.boolean().default(false),
		allowed_regions: zod.array(zod.string()).optional(),
		weight: zod.number().positive().optional(),
		floor_per_s: zod.number().nonnegative().optional(),
		ceiling_per_s: zod.number().positive().optional(),
	}).refine(({floor_per_s: floor = 0, ceiling_per_s: ceiling = Number.POSITIVE_INFINITY}) => floor <= ceiling, {
		path: ['floor_per_s'], error: 'must not exceed ceiling_per_s',
	})).optional(),
});

const weightsSchema = zod.object({model: zod.string(), version: zod.number()});

/** An entry that lacks a field which every endpoint writes is another program's, and names no endpoint. */
const endpointSchema = zod.object({
	service: zod.string(),
	address: zod.string().refine(address => splitAddress(address) !== undefined, {error: 'must be an IP:port'}),
	zone: zod.string(),
	slots: zod.number().nonnegative(),
	state: zod.enum(['ready', 'draining']),
	// The start of the incarnation, in milliseconds since the epoch.
	born: zod.int().default(0),
	// The number of heartbeats of the incarnation.
	seq: zod.int(),
	version: zod.string(),
	cold_left_ms: zod.number(),
	// Only engines have models.
	models: zod.array(zod.object({name: zod.string(), version: zod.number()})).default([]),
});

const configurationKey = 'config';
const weightsPrefix = 'version/';
const evacuationPrefix = 'evacuate/';

export const platformStoreSchema: StoreSchema = {
	operatorTable: 'op',
	endpointTable: 'servers',
	readOperatorRow(key, content): Either<string[], OperatorRow> {
		if (key === configurationKey) {
			return check(configurationSchema, content).map(row => ({kind: 'configuration', configuration: configurationOf(row)}));
		}

		if (key.startsWith(weightsPrefix)) {
			return check(weightsSchema, content).map(weights => ({kind: 'weights', weights}));
		}

		return Right(key.startsWith(evacuationPrefix) ? {kind: 'evacuation', dataCentre: key.slice(evacuationPrefix.length)} : {kind: 'other'});
	},
	readEndpointRow(key, content): Either<string[], EndpointRecord> {
		return check(endpointSchema, content).map(row => ({
			name: key,
			service: row.service,
			address: row.address,
			dataCentre: row.zone,
			slots: row.slots,
			state: row.state === 'ready' ? 'ready' : 'leaving',
			startedAt: row.born,
			sequence: row.seq,
			softwareVersion: row.version,
			warmUpMilliseconds: row.cold_left_ms,
			weightVersions: new Map(row.models.map(({name, version}) => [name, version])),
		}));
	},
};

function check<Schema extends zod.ZodType>(schema: Schema, content: JsonValue | undefined): Either<string[], zod.infer<Schema>> {
	const checked = schema.safeParse(content);
	return checked.success
		? Right(checked.data)
		: Left(checked.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`));
}

function configurationOf(row: zod.infer<typeof configurationSchema>): RoutedConfiguration {
	const {limits, tenants} = row;
	return {
		version: row.version,
		routes: row.routes.map(route => routeOf(route, tenants !== undefined)),
		services: new Map(row.services.map(service => [service.name, serviceOf(service)])),
		limits: {
			headerBytes: limits.max_header_bytes,
			bodyBytes: limits.max_body_bytes,
			headerTimeoutMilliseconds: limits.header_timeout_ms,
			idleTimeoutMilliseconds: limits.idle_timeout_ms,
		},
		...(tenants === undefined ? {} : {grants: grantsOf(tenants)}),
	};
}

function routeOf(route: zod.infer<typeof routeSchema>, hasTenants: boolean): Route {
	const kinds = {idempotent: 'idempotent', non_idempotent: 'non-idempotent', stream: route.resumable ? 'resumable-stream' : 'stream'} as const;
	return {
		name: route.name,
		host: route.host,
		pathPrefix: route.prefix,
		kind: kinds[route.kind],
		targets: route.traffic_split ?? [{service: route.service ?? '', weight: 1}],
		timeoutMilliseconds: route.timeout_ms,
		objectiveMilliseconds: route.target_latency_ms,
		maxEventGapMilliseconds: route.gap_aim_ms,
		maxAttempts: route.max_attempts,
		rank: route.priority,
		requiresKey: hasTenants && !route.no_auth,
		// Despite its name, the platform sets `sticky` on the routes whose requests carry a prompt divided into blocks.
		carriesPrompt: route.sticky,
		...(route.allowed_regions === undefined ? {} : {allowedRegions: route.allowed_regions}),
	};
}

function serviceOf(service: zod.infer<typeof serviceSchema>): RoutedService {
	const {engine} = service;
	return {
		name: service.name,
		connectionLimit: service.max_conns,
		...(service.cold_s > 0 ? {warmUp: {milliseconds: service.cold_s * 1000, requestsPerSecond: service.cold_per_s}} : {}),
		...(engine === undefined
			? {}
			: {
				engine: {
					slots: engine.slots,
					capacityTokens: engine.kv_capacity_tokens,
					bytesPerToken: engine.kv_token_bytes,
					linkMegabitsPerSecond: engine.link_mbps,
					models: engine.models.map(({name}) => name),
				},
			}),
		...(service.kv_store_addr === undefined
			? {}
			: {
				store: {
					address: service.kv_store_addr,
					dataCentre: service.zone,
					capacityTokens: service.kv_capacity_tokens,
					linkMegabitsPerSecond: service.link_mbps,
					transferLatencyMilliseconds: service.first_ms,
					isManaged: service.managed,
				},
			}),
	};
}

function grantsOf(tenants: NonNullable<zod.infer<typeof configurationSchema>['tenants']>): Map<string, WorkspaceGrant> {
	const grants = new Map<string, WorkspaceGrant>();
	for (const tenant of tenants) {
		const {name, api_keys: keys, priority, isolated, allowed_regions: allowedRegions} = tenant;
		const share = shareOf(tenant);
		for (const key of keys) {
			grants.set(key, {
				name, isIsolated: isolated, ...(priority === undefined ? {} : {rank: priority}), ...(share === undefined ? {} : {share}), ...(allowedRegions === undefined ? {} : {allowedRegions}),
			});
		}
	}

	return grants;
}

function shareOf({weight, floor_per_s: floorPerSecond, ceiling_per_s: ceilingPerSecond}: NonNullable<zod.infer<typeof configurationSchema>['tenants']>[number]): GrantedShare | undefined {
	const share = {
		...(weight === undefined ? {} : {weight}), ...(floorPerSecond === undefined ? {} : {floorPerSecond}), ...(ceilingPerSecond === undefined ? {} : {ceilingPerSecond}),
	};
	return Object.keys(share).length === 0 ? undefined : share;
}
