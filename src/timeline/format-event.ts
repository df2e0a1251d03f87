import {type TimelineEvent} from '../observability/timeline-event.js';

/**
 * Formats an event as one line.
 *
 * @param event - The event.
 * @returns Time, instance and kind, followed by each other known value as `name=value`.
 */
export function formatEvent(event: TimelineEvent): string {
	const {
		at, instance, kind, requestId, attempt, workspace, endpoint, configurationVersion, detail,
	} = event;
	const details = Object.entries({
		request: requestId, attempt, workspace, endpoint, configuration: configurationVersion, detail,
	});
	const known = details.filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${String(value)}`);
	return [new Date(at).toISOString(), instance, kind, ...known].join(' ');
}
