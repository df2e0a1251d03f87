/** Takes a proposed configuration change: its form, what it would bring about, and then the table service decide. */
import {type Either, Left} from 'purify-ts/Either';
import {checkOutcome, checkProposal, type ProposalFinding} from '../../declaration/check-proposal.js';
import {
	acceptProposal, type ConfigurationProposal, type ProposalFailure, readChangesAfter,
} from '../../protocol/configuration/configuration-table.js';
import {type ConfigurationChange} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';

/** Why a proposal was not accepted; `bad-proposal` was never looked at by the table service. */
export type ProposeFailure = ProposalFailure | {kind: 'bad-proposal'; findings: ProposalFinding[]};

/**
 * Brings the newest accepted configuration into force here, as far as the table service can be read.
 *
 * @param context - The entry.
 * @returns True if the table service was read to its end.
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
 * Has a proposal accepted.
 *
 * @param context - The entry.
 * @param body - The proposal as it arrived; nothing in it is trusted.
 * @returns The accepted change, which is in force here, or why not.
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

	// The outcome can be judged only on the version that was planned against. On any other the table service refuses
	// the proposal anyway, because its head has moved on.
	if (proposal.plannedAgainst === context.configuration.state.version) {
		const findings = checkOutcome(context.configuration.state, proposal.edits);
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
