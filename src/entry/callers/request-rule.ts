import {type ConfigurationState} from '../../protocol/configuration/configuration-state.js';
import {type PriorityClass, type RuleItem, type WorkspaceItem} from '../../shared/types.js';

/** How a request is to be served. */
export type RequestRule = {
	priority: PriorityClass;
	deadlineMilliseconds: number;
	/** Data centres that may serve it; empty for all. */
	dataCentres: readonly string[];
};

/** Who calls what, with the texts of the headers `X-Priority` and `X-Deadline-Milliseconds`. */
export type RuleCaller = {
	workspace: WorkspaceItem;
	service: string;
	priority: string | undefined;
	deadlineMilliseconds: string | undefined;
};

/** How long a request may wait for its first token when neither caller nor rule says it. */
export const defaultDeadlineMilliseconds: Record<PriorityClass, number> = {
	urgent: 10_000,
	normal: 60_000,
	overnight: 28_800_000,
};

const priorities: ReadonlySet<string> = new Set(['urgent', 'normal', 'overnight']);

/**
 * Works out how a request is to be served: the caller's headers go before the first matching rule, and the rule before
 * the workspace's own priority.
 *
 * @param configuration - The configuration in force.
 * @param caller - Who calls what.
 * @returns The rule of this request.
 */
export function requestRule(configuration: ConfigurationState, caller: RuleCaller): RequestRule {
	const declared = [...configuration.rules.values()]
		.toSorted((left, right) => left.name < right.name ? -1 : 1)
		.find(rule => matches(rule, caller.workspace.name, caller.service));
	const asked = priorities.has(caller.priority ?? '') ? caller.priority as PriorityClass : undefined;
	const priority = asked ?? declared?.priority ?? caller.workspace.priority;
	const askedDeadline = Number(caller.deadlineMilliseconds);
	const deadlineMilliseconds = askedDeadline > 0
		? askedDeadline
		: declared?.deadlineMilliseconds ?? defaultDeadlineMilliseconds[priority];
	return {priority, deadlineMilliseconds, dataCentres: declared?.dataCentres ?? []};
}

function matches(rule: RuleItem, workspace: string, service: string): boolean {
	return (rule.workspace === undefined || rule.workspace === workspace)
		&& (rule.service === undefined || rule.service === service);
}
