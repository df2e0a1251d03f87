import {type TimelineEvent} from '../observability/timeline-event.js';
import {type EventFilter} from './timeline-messages.js';

/**
 * Checks whether an event passes a filter.
 *
 * @param event - The event.
 * @param filter - The filter; an absent or empty member lets every event pass.
 * @returns True if every given member matches.
 */
export function matchesFilter(event: TimelineEvent, filter: EventFilter): boolean {
	const matches = (wanted: string | undefined, value: string | undefined): boolean => wanted === undefined || wanted === '' || wanted === value;
	const {kinds = []} = filter;
	return matches(filter.request, event.requestId)
		&& matches(filter.workspace, event.workspace)
		&& matches(filter.endpoint, event.endpoint)
		&& matches(filter.instance, event.instance)
		&& matches(filter.dataCentre, event.dataCentre)
		&& (kinds.length === 0 || kinds.includes(event.kind));
}
