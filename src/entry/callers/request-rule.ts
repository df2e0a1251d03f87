import {type ConfigurationState} from '../../protocol/configuration/configuration-state.js';
import {type PriorityClass, type RuleItem, type WorkspaceItem} from '../../shared/types.js';

/** Priority, deadline and data centres with which a request is served. */
export type RequestRule = {
	priority: PriorityClass;
	deadlineMilliseconds: number;
	/** Data centres that may serve it; empty means all. */
	dataCentres: readonly string[];
};

/** The workspace and service of a request, with the raw values of `X-Priority` and `X-Deadline-Milliseconds`. */
export type RuleInput = {
	workspace: WorkspaceItem;
	service: string;
	priority: string | undefined;
	deadlineMilliseconds: string | undefined;
};

/** How long a request may wait for its first token if neither the caller nor a rule sets a deadline. */
export const defaultDeadlineMilliseconds: Record<PriorityClass, number> = {
	urgent: 10_000,
	normal: 60_000,
	overnight: 28_800_000,
};

const priorities: ReadonlySet<string> = new Set(['urgent', 'normal', 'overnight']);

/**
 * Determines how a request is served. The caller's headers take precedence over the first matching rule, and the rule over
 * the workspace's priority.
 *
 * @param configuration - The configuration in force.
 * @param input - The workspace and service of the request, and its headers.
 * @returns The rule for this request.
 */
export function requestRule(configuration: ConfigurationState, input: RuleInput): RequestRule {
	const matchingRule = [...configuration.rules.values()]
		.toSorted((left, right) => left.name < right.name ? -1 : 1)
		.find(rule => matches(rule, input.workspace.name, input.service));
	const requestedPriority = priorities.has(input.priority ?? '') ? input.priority as PriorityClass : undefined;
	const priority = requestedPriority ?? matchingRule?.priority ?? input.workspace.priority;
	const requestedDeadline = Number(input.deadlineMilliseconds);
	const deadlineMilliseconds = requestedDeadline > 0
		? requestedDeadline
		: matchingRule?.deadlineMilliseconds ?? defaultDeadlineMilliseconds[priority];
	return {priority, deadlineMilliseconds, dataCentres: matchingRule?.dataCentres ?? []};
}

function matches(rule: RuleItem, workspace: string, service: string): boolean {
	return (rule.workspace === undefined || rule.workspace === workspace)
		&& (rule.service === undefined || rule.service === service);
}
