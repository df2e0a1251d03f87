import {type TimelineEvent} from '../observability/timeline-event.js';

/**
 * Writes an event as one line.
 *
 * @param event - The event.
 * @returns Time, instance, kind, and the cause as `name=value`.
 */
export function formatEvent(event: TimelineEvent): string {
	const {
		at, instance, kind, requestId, attempt, workspace, endpoint, configurationVersion, detail,
	} = event;
	const causes = Object.entries({
		request: requestId, attempt, workspace, endpoint, configuration: configurationVersion, detail,
	});
	const told = causes.filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${String(value)}`);
	return [new Date(at).toISOString(), instance, kind, ...told].join(' ');
}
