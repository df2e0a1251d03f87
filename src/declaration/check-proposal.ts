/**
 * Checks a proposed configuration change that arrives over HTTP. The command line checks its own proposals, but another
 * client may not, and an item with a missing member would come into force on every instance at once.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {z} from 'zod';
import {applyEdits} from '../protocol/configuration/apply-change.js';
import {type ConfigurationState} from '../protocol/configuration/configuration-state.js';
import {type ConfigurationProposal} from '../protocol/configuration/configuration-table.js';
import {type ConfigurationEdit} from '../shared/types.js';
import {
	drainSchema, limitSchema, ruleSchema, serviceSchema, workspaceSchema,
} from './declaration-schema.js';
import {findBrokenReferences} from './find-broken-references.js';

const maxEdits = 10_000;
const maxTextCharacters = 1000;

/** An error in a proposal, with its path in the proposal, for example `edits.0.item.share`. */
export type ProposalFinding = {
	path: string;
	message: string;
};

const setEdit = z.discriminatedUnion('kind', [
	z.strictObject({action: z.literal('set'), kind: z.literal('workspace'), item: workspaceSchema}),
	z.strictObject({action: z.literal('set'), kind: z.literal('service'), item: serviceSchema}),
	z.strictObject({action: z.literal('set'), kind: z.literal('rule'), item: ruleSchema}),
	z.strictObject({action: z.literal('set'), kind: z.literal('limit'), item: limitSchema}),
	z.strictObject({action: z.literal('set'), kind: z.literal('drain'), item: drainSchema}),
]);
const removeEdit = z.strictObject({
	action: z.literal('remove'),
	kind: z.enum(['workspace', 'service', 'rule', 'limit', 'drain']),
	name: z.string().min(1),
});
const text = z.string().trim().min(1).max(maxTextCharacters);
const proposalSchema = z.strictObject({
	plannedAgainst: z.number().int().nonnegative(),
	edits: z.array(z.union([setEdit, removeEdit])).min(1).max(maxEdits),
	author: text,
	reason: text,
});

/**
 * Checks the form of a proposal.
 *
 * @param value - The parsed body.
 * @returns The proposal with the defaults filled in, or all findings.
 */
export function checkProposal(value: unknown): Either<ProposalFinding[], ConfigurationProposal> {
	const parsed = proposalSchema.safeParse(value);
	return parsed.success
		? Right(parsed.data as ConfigurationProposal)
		: Left(parsed.error.issues.flatMap(issue => findingsOf(issue)));
}

/**
 * Checks the references in the configuration that a proposal leads to: every name in use must be declared.
 *
 * @param state - The configuration that the proposal was planned against.
 * @param edits - The edits of the proposal.
 * @returns All findings; none if the resulting configuration is valid.
 */
export function checkResultingReferences(state: ConfigurationState, edits: readonly ConfigurationEdit[]): ProposalFinding[] {
	const {workspaces, services, rules} = applyEdits(state, edits);
	const lists = {workspaces: [...workspaces.values()], services: [...services.values()], rules: [...rules.values()]};
	return findBrokenReferences(lists).map(({path: [list, index, ...rest], message}) => ({
		path: [String(list), lists[list as keyof typeof lists][Number(index)]!.name, ...rest].join('.'), message,
	}));
}

function findingsOf(issue: z.core.$ZodIssue, parentPath: readonly PropertyKey[] = []): ProposalFinding[] {
	const path = [...parentPath, ...issue.path];
	if (issue.code === 'invalid_union') {
		const [closestBranch] = issue.errors.toSorted((left, right) => firstFindingDepth(right) - firstFindingDepth(left) || left.length - right.length);
		if (closestBranch !== undefined && closestBranch.length > 0) {
			return closestBranch.flatMap(inner => findingsOf(inner, path));
		}
	}

	return [{path: path.map(String).join('.') || 'the proposal', message: issue.message}];
}

/**
 * Returns how deep in the value the first finding of a union branch is. The branch that matched the furthest is most
 * likely the intended one.
 */
function firstFindingDepth(issues: readonly z.core.$ZodIssue[]): number {
	return issues[0]?.path.length ?? 0;
}
