/**
 * Stands in for the platform's list of live and leaving instances. A test announces the instances that it starts by
 * `PUT /instances`. An announcement becomes visible to readers after the `lagMilliseconds` in force when it was made.
 */
import {H3, readBody} from 'h3';
import {type ListedInstance} from '../shared/types.js';
import {noFaults, type StandInDefinition} from './stand-in-server.js';

type Announcement = {instances: ListedInstance[]; visibleAt: number};

export function createInstanceListStandIn(): StandInDefinition {
	const app = new H3();
	const faults = {...noFaults, lagMilliseconds: 0};
	let announcements: Announcement[] = [{instances: [], visibleAt: 0}];

	app.get('/instances', () => {
		const visible = announcements.findLast(announcement => announcement.visibleAt <= Date.now());
		return {instances: visible?.instances ?? []};
	});
	app.put('/instances', async event => {
		const {instances} = await readBody<{instances: ListedInstance[]}>(event) as {instances: ListedInstance[]};
		announcements = [...announcements.slice(-100), {instances, visibleAt: Date.now() + faults.lagMilliseconds}];
		return {announced: instances.length};
	});
	return {app, faults, counts: () => ({announcements: announcements.length})};
}
