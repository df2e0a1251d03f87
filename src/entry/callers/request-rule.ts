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
export type RuleCaller = {
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
 * @param caller - The workspace and service of the request, and its headers.
 * @returns The rule for this request.
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
