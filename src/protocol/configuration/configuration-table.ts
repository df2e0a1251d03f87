/**
 * Stores the configuration in the table service: a row `head` with the newest version and digest, and one row per change. A
 * change is accepted by a transaction that is conditional on the revision of `head`, so of two concurrent proposals one fails
 * and its operator gets an error.
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
/** The maximum number of changes per read. */
export const maxChangesPerRead = 1000;

/** The row `head`. `revision` is 0 while there is no change. */
export type ConfigurationHead = {
	version: number;
	digest: string;
	revision: number;
};

/** A configuration change that an operator proposes. */
export type ConfigurationProposal = {
	/** The version on which the operator based the proposal. */
	plannedAgainst: number;
	edits: ConfigurationEdit[];
	author: string;
	reason: string;
};

/** Why a proposal was not accepted. `overtaken` lists the changes that were accepted since the proposal's version. */
export type ProposalFailure
	= | {kind: 'overtaken'; since: ConfigurationChange[]}
		| {kind: 'unavailable'; detail: string}
		| {kind: 'outcome-unknown'; detail: string};

/** Returns the key of a change's row; keys sort in order of version. */
export function changeKeyOf(version: number): string {
	return changePrefix + String(version).padStart(versionDigits, '0');
}

/**
 * Reads the head.
 *
 * @param table - The table service.
 * @returns The head; its version is 0 if no change was accepted so far.
 */
export async function readHead(table: TableService): Promise<Either<TableFailure, ConfigurationHead>> {
	const row = await table.read({table: configurationTable, key: headKey});
	return row.map(found => found === undefined ? {version: 0, digest: emptyDigest, revision: 0} : headOf(found));
}

/**
 * Reads the changes after a version, oldest first.
 *
 * @param table - The table service.
 * @param version - The version that the caller has.
 * @returns At most 1,000 changes.
 */
export async function readChangesAfter(table: TableService, version: number): Promise<Either<TableFailure, ConfigurationChange[]>> {
	const rows = await table.scan({
		table: configurationTable, prefix: changePrefix, after: changeKeyOf(version), limit: maxChangesPerRead,
	});
	return rows.map(found => found.map(row => row.value as unknown as ConfigurationChange));
}

/**
 * Accepts a proposal if no change was accepted since the version on which it is based.
 *
 * If the answer to the write is lost, the row of the change is read: it shows whether this proposal was accepted. The operator
 * gets `outcome-unknown` only if that read fails as well, or does not find the row.
 *
 * @param table - The table service.
 * @param proposal - The proposal.
 * @param now - Milliseconds since the epoch.
 * @returns The accepted change, or why the proposal was not accepted.
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
		return Left({kind: 'outcome-unknown', detail: `version ${change.version} was not found; it may still be accepted`});
	}

	const isOurs = stored.digest === change.digest && stored.author === change.author && stored.acceptedAt === change.acceptedAt;
	return isOurs ? Right(change) : overtaken(table, change.version - 1);
}

async function overtaken(table: TableService, plannedAgainst: number): Promise<Either<ProposalFailure, never>> {
	const since = await readChangesAfter(table, plannedAgainst);
	return Left({kind: 'overtaken', since: since.orDefault([])});
}
