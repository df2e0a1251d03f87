/** Collects the rows of one source of the operators' language, from this instance's state or the platform's services. */
import {type SourceSnapshot} from '../../language/sources.js';
import {type Row, type SourceName} from '../../language/statement.js';
import {type Row as TableRow} from '../../ports/table-service.js';
import {type ClaimRow, claimTable} from '../../protocol/claim/claim-row.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';
import {type CommandRecord, commandTable} from './command-record.js';

/** This instance's view of its peers. */
export type PeerView = Pick<EntryPeers, 'overview'>;

const maxTableRows = 1000;
const shownDigestCharacters = 12;

/**
 * Reads a source.
 *
 * @param context - The entry.
 * @param peers - The entry's view of its peers.
 * @param source - The name of the source.
 * @returns Its rows, and notes on what could not be read.
 */
export async function readSource(context: EntryContext, peers: PeerView, source: SourceName): Promise<SourceSnapshot> {
	switch (source) {
		case 'claims': {
			return readTable(context, claimTable, row => claimRow(row, context.clock.now()));
		}

		case 'acts': {
			return readTable(context, commandTable, row => commandRow(row.value as unknown as CommandRecord));
		}

		case 'instances': {
			return readInstances(context);
		}

		case 'peers': {
			return {rows: peerRows(context, peers), notes: []};
		}

		case 'endpoints':
		case 'workspaces':
		case 'services':
		case 'requests':
		case 'waiting':
		case 'cache':
		case 'configuration': {
			return {rows: rowsInMemory(context, source), notes: []};
		}
	}
}

function rowsInMemory(context: EntryContext, source: Exclude<SourceName, 'claims' | 'acts' | 'instances' | 'peers'>): Row[] {
	switch (source) {
		case 'endpoints': {
			return endpointRows(context);
		}

		case 'workspaces': {
			return [...context.configuration.state.workspaces.values()].map(({name, priority, share, services, keyDigests}) => ({
				name, priority, share, services: services.join(' '), keys: keyDigests.length,
			}));
		}

		case 'services': {
			return serviceRows(context);
		}

		case 'requests':
		case 'waiting': {
			return requestRows(context).filter(({stage}) => source === 'requests' || stage === 'waiting');
		}

		case 'cache': {
			return cacheRows(context);
		}

		case 'configuration': {
			return [configurationRow(context)];
		}
	}
}

function peerRows({identity}: EntryContext, peers: PeerView): Row[] {
	const {members, linked} = peers.overview();
	return members.map(({name, dataCentre, status, isListed, changedSecondsAgo}) => ({
		name, dataCentre, status, listed: isListed, changedSecondsAgo, linked: linked.includes(name), instance: identity.instance,
	}));
}

function endpointRows({endpoints, configuration, clock, identity}: EntryContext): Row[] {
	const {drains} = configuration.state;
	const engines = endpoints.engines().map(({name, dataCentre, service, model, weightVersion, state, load, heardAt}) => ({
		name,
		kind: 'model-engine',
		dataCentre,
		service,
		model,
		weightVersion,
		state,
		drained: drains.has(name),
		running: load?.runningRequests,
		waiting: load?.waitingRequests,
		heardMillisecondsAgo: heardAt === 0 ? undefined : clock.now() - heardAt,
		instance: identity.instance,
	}));
	const plain = endpoints.plainEndpoints().map(({name, dataCentre, service, state}) => ({
		name, kind: 'plain-service', dataCentre, service, state: drains.has(name) ? 'leaving' : state, drained: drains.has(name), instance: identity.instance,
	}));
	return [...engines, ...plain];
}

function serviceRows({configuration}: EntryContext): Row[] {
	return [...configuration.state.services.values()].map(service => service.kind === 'model'
		? {
			name: service.name, kind: service.kind, model: service.model, weightVersion: service.weightVersion, paused: service.paused,
		}
		: {
			name: service.name, kind: service.kind, paused: service.paused, neverTwice: service.neverTwice.map(({method, path}) => `${method} ${path}`).join(', '),
		});
}

function requestRows({requests, clock, identity}: EntryContext): Row[] {
	const now = clock.now();
	return requests.list().map(({requestId, workspace, service, priority, stage, arrivedAt}) => ({
		request: requestId, workspace, service, priority, stage, ageMilliseconds: now - arrivedAt, instance: identity.instance,
	}));
}

function cacheRows({endpoints, identity}: EntryContext): Row[] {
	return endpoints.engines()
		.filter(({load}) => load !== undefined)
		.map(({name, service, dataCentre, load}) => ({
			endpoint: name,
			service,
			dataCentre,
			usedTokens: load!.kvTokensUsed,
			capacityTokens: load!.kvTokensCapacity,
			usedShare: Number((load!.kvTokensUsed / Math.max(1, load!.kvTokensCapacity)).toFixed(3)),
			instance: identity.instance,
		}));
}

function configurationRow({configuration, identity}: EntryContext): Row {
	const {version, digest, workspaces, services, rules, limits, drains} = configuration.state;
	return {
		instance: identity.instance,
		dataCentre: identity.dataCentre,
		version,
		digest: digest.slice(0, shownDigestCharacters),
		workspaces: workspaces.size,
		services: services.size,
		rules: rules.size,
		limits: limits.size,
		drains: drains.size,
	};
}

async function readInstances({list}: EntryContext): Promise<SourceSnapshot> {
	const instances = await list.read();
	return instances.caseOf<SourceSnapshot>({
		Left: ({detail}) => ({rows: [], notes: [`the platform's instance list cannot be read: ${detail}`]}),
		Right: found => ({
			rows: found.map(({name, role, dataCentre, service, state, address}) => ({
				name, role, dataCentre, service, state, address,
			})),
			notes: [],
		}),
	});
}

async function readTable({table}: EntryContext, name: string, rowOf: (row: TableRow) => Row): Promise<SourceSnapshot> {
	const found = await table.scan({
		table: name, prefix: '', after: '', limit: maxTableRows,
	});
	return found.caseOf<SourceSnapshot>({
		Left: ({kind}) => ({rows: [], notes: [`the platform's table service cannot be read (${kind})`]}),
		Right: rows => ({
			rows: rows.map(row => rowOf(row)),
			notes: rows.length < maxTableRows ? [] : [`only the first ${maxTableRows} rows were read`],
		}),
	});
}

/** The key of a claim is `{workspace}/{service}/{digest of the caller's key}`. */
function claimRow({key, value}: TableRow, now: number): Row {
	const [workspace, service, digest] = key.split('/');
	const {stage, holder, leaseUntil, configurationVersion} = value as unknown as ClaimRow;
	return {
		workspace, service, key: digest?.slice(0, shownDigestCharacters), stage, holder, leaseMilliseconds: Math.max(0, leaseUntil - now), version: configurationVersion,
	};
}

function commandRow({at, author, act, reason, outcome, instance}: CommandRecord): Row {
	return {
		at: new Date(at).toISOString(), author, act, reason, outcome, instance,
	};
}
