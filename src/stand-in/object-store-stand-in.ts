/** Stands in for the platform's object store: `GET` and `PUT /objects/{key}`. */
import {Buffer} from 'node:buffer';
import {
	getRouterParam, H3, HTTPError,
} from 'h3';
import {noFaults, type StandInDefinition} from './stand-in-server.js';

export function createObjectStoreStandIn(): StandInDefinition {
	const app = new H3();
	const objects = new Map<string, Buffer>();
	app.get('/objects/:key', event => {
		const content = objects.get(getRouterParam(event, 'key') ?? '');
		if (content === undefined) {
			throw new HTTPError({status: 404, message: 'no such object'});
		}

		return new Response(new Uint8Array(content));
	});
	app.put('/objects/:key', async event => {
		objects.set(getRouterParam(event, 'key') ?? '', Buffer.from(await event.req.arrayBuffer()));
		event.res.status = 204;
		return '';
	});
	return {app, faults: {...noFaults}, counts: () => ({objects: objects.size})};
}
