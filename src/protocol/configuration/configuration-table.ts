/**
 * How the configuration stands in the table service: one row `head` with the newest version and digest, and one row a
 * change. A change is accepted by a transaction on the revision of `head`, so of two racing operators one loses and is
 * told.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type Row, type TableFailure, type TableService} from '../../ports/table-service.js';
import {
	type ConfigurationChange, type ConfigurationEdit, type JsonValue,
} from '../../shared/types.js';
import {changeDigest} from './change-digest.js';
import {emptyDigest} from './configuration-state.js';

export const configurationTable = 'configuration';
export const headKey = 'head';
const changePrefix = 'change/';
const versionDigits = 12;
/** Most changes in one reading. */
export const readLimitChanges = 1000;

/** The row `head`. `revision` is 0 while there is no change. */
export type ConfigurationHead = {
	version: number;
	digest: string;
	revision: number;
};

/** What an operator asks to be accepted. */
export type ConfigurationProposal = {
	/** The version that the operator planned against. */
	plannedAgainst: number;
	edits: ConfigurationEdit[];
	author: string;
	reason: string;
};

/** Why a proposal was not accepted. `overtaken` lists what others changed since. */
export type ProposalFailure
	= | {kind: 'overtaken'; since: ConfigurationChange[]}
		| {kind: 'unavailable'; detail: string}
		| {kind: 'outcome-unknown'; detail: string};

/** Gives the key of a change's row; keys sort as versions do. */
export function changeKeyOf(version: number): string {
	return changePrefix + String(version).padStart(versionDigits, '0');
}

/**
 * Reads the head.
 *
 * @param table - The table service.
 * @returns The head, with version 0 when nothing was ever accepted.
 */
export async function readHead(table: TableService): Promise<Either<TableFailure, ConfigurationHead>> {
	const row = await table.read({table: configurationTable, key: headKey});
	return row.map(found => found === undefined ? {version: 0, digest: emptyDigest, revision: 0} : headOf(found));
}

/**
 * Reads the changes behind a version, oldest first.
 *
 * @param table - The table service.
 * @param version - The version that the caller has.
 * @returns At most 1,000 changes.
 */
export async function readChangesAfter(table: TableService, version: number): Promise<Either<TableFailure, ConfigurationChange[]>> {
	const rows = await table.scan({
		table: configurationTable, prefix: changePrefix, after: changeKeyOf(version), limit: readLimitChanges,
	});
	return rows.map(found => found.map(row => row.value as unknown as ConfigurationChange));
}

/**
 * Has a proposal accepted, if nothing was accepted since it was planned.
 *
 * A lost answer is read back: the change's row tells whether it was this proposal that was accepted, so an operator is
 * told `outcome-unknown` only when the table cannot be read either.
 *
 * @param table - The table service.
 * @param proposal - What is asked.
 * @param now - Milliseconds since the epoch.
 * @returns The accepted change, or why not.
 */
export async function acceptProposal(table: TableService, proposal: ConfigurationProposal, now: number): Promise<Either<ProposalFailure, ConfigurationChange>> {
	const head = await readHead(table);
	if (head.isLeft()) {
		return Left({kind: 'unavailable', detail: 'the table cannot be read'});
	}

	const current = head.unsafeCoerce();
	if (current.version !== proposal.plannedAgainst) {
		return overtaken(table, proposal.plannedAgainst);
	}

	const change = changeOf(current, proposal, now);
	const committed = await table.commit({
		conditions: [{table: configurationTable, key: headKey, revision: current.revision}],
		writes: [
			{table: configurationTable, key: headKey, value: {version: change.version, digest: change.digest}},
			{table: configurationTable, key: changeKeyOf(change.version), value: change},
		],
	});
	return committed.caseOf({
		async Left(failure) {
			return failure.kind === 'unavailable' ? Left(failure) : readBack(table, change);
		},
		Right: async () => Right(change),
	});
}

function headOf(row: Row): ConfigurationHead {
	const {version, digest} = row.value as {version: number; digest: string};
	return {version, digest, revision: row.revision};
}

function changeOf(head: ConfigurationHead, proposal: ConfigurationProposal, now: number): ConfigurationChange {
	const {author, reason, edits} = proposal;
	const change = {
		version: head.version + 1, previousDigest: head.digest, author, reason, acceptedAt: now, edits,
	};
	return {...change, digest: changeDigest(change)};
}

async function readBack(table: TableService, change: ConfigurationChange): Promise<Either<ProposalFailure, ConfigurationChange>> {
	const row = await table.read({table: configurationTable, key: changeKeyOf(change.version)});
	if (row.isLeft()) {
		return Left({kind: 'outcome-unknown', detail: `version ${change.version} may or may not have been accepted`});
	}

	const stored = row.unsafeCoerce()?.value as unknown as ConfigurationChange | undefined;
	if (stored === undefined) {
		return Left({kind: 'outcome-unknown', detail: `version ${change.version} is not there yet`});
	}

	const isOurs = stored.digest === change.digest && stored.author === change.author && stored.acceptedAt === change.acceptedAt;
	return isOurs ? Right(change) : overtaken(table, change.version - 1);
}

async function overtaken(table: TableService, plannedAgainst: number): Promise<Either<ProposalFailure, never>> {
	const since = await readChangesAfter(table, plannedAgainst);
	return Left({kind: 'overtaken', since: since.orDefault([])});
}
