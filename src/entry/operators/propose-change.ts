/**
 * Handles a proposed configuration change: validates its form and the configuration that it would lead to, and proposes it
 * to the table service, which decides between concurrent proposals.
 */
import {type Either, Left} from 'purify-ts/Either';
import {checkResultingReferences, checkProposal, type ProposalFinding} from '../../declaration/check-proposal.js';
import {
	acceptProposal, type ConfigurationProposal, type ProposalFailure, readChangesAfter,
} from '../../protocol/configuration/configuration-table.js';
import {type ConfigurationChange} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';

/** Why a proposal was not accepted; a `bad-proposal` was not sent to the table service. */
export type ProposeFailure = ProposalFailure | {kind: 'bad-proposal'; findings: ProposalFinding[]};

/**
 * Reads the accepted changes from the table service and brings them into force here.
 *
 * @param context - The entry.
 * @returns True if all changes were read, false if the table service did not answer.
 */
export async function catchUp(context: EntryContext): Promise<boolean> {
	const {configuration, table} = context;
	for (;;) {
		const {version} = configuration.state;
		const changes = await readChangesAfter(table, version);
		if (changes.isLeft()) {
			return false;
		}

		for (const change of changes.orDefault([])) {
			configuration.offer(change);
		}

		if (configuration.state.version === version) {
			return true;
		}
	}
}

/**
 * Validates a proposal and has the table service accept it.
 *
 * @param context - The entry.
 * @param body - The proposal as received; it is validated here.
 * @returns The accepted change, which is in force here, or why it was not accepted.
 */
export async function proposeChange(context: EntryContext, body: unknown): Promise<Either<ProposeFailure, ConfigurationChange>> {
	const checked = checkProposal(body);
	if (checked.isLeft()) {
		return Left({kind: 'bad-proposal', findings: checked.extract()});
	}

	const proposal = checked.extract() as ConfigurationProposal;
	if (proposal.plannedAgainst > context.configuration.state.version) {
		await catchUp(context);
	}

	// The resulting configuration can be checked only at the version that the proposal was planned against. If this instance
	// has a newer version, the table service refuses the proposal anyway, because its head is newer too.
	if (proposal.plannedAgainst === context.configuration.state.version) {
		const findings = checkResultingReferences(context.configuration.state, proposal.edits);
		if (findings.length > 0) {
			return Left({kind: 'bad-proposal', findings});
		}
	} else if (proposal.plannedAgainst > context.configuration.state.version) {
		return Left({kind: 'unavailable', detail: `this entry does not know version ${proposal.plannedAgainst}`});
	}

	const accepted = await acceptProposal(context.table, proposal, context.clock.now());
	return accepted.ifRight(change => {
		context.configuration.offer(change);
		context.timeline.record({
			kind: 'configuration-accepted', at: context.clock.now(), configurationVersion: change.version, detail: proposal.author,
		});
	});
}
