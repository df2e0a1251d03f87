/**
 * Stands in for the weight store. `PUT /weights/{model}/{version}` publishes a version with its size,
 * `GET /weights/{model}` lists the versions, `POST /weights/{model}/{version}/loads` takes as long as loading takes at
 * the current transfer rate, and `GET /load` returns how busy the store is. `refuseSeconds` makes it answer 429, as the
 * real store's rate limit does.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	getRouterParam, H3, HTTPError, readBody,
} from 'h3';
import {type StoredWeights} from '../ports/weight-store.js';
import {noFaults, type StandInDefinition} from './stand-in-server.js';

const fullSpeedLoads = 2;
const bytesPerSecond = 1_000_000_000;

export function createWeightStoreStandIn(): StandInDefinition {
	const app = new H3();
	const faults = {...noFaults, refuseSeconds: 0};
	const weights: StoredWeights[] = [];
	const counts = {loading: 0, loads: 0};

	app.use(event => {
		if (faults.refuseSeconds > 0 && event.url.pathname !== '/control') {
			throw new HTTPError({status: 429, headers: {'retry-after': String(faults.refuseSeconds)}});
		}
	});
	app.get('/load', () => ({loading: counts.loading, fullSpeedLoads, bytesPerSecond}));
	app.get('/weights/:model', event => ({weights: weights.filter(({model}) => model === getRouterParam(event, 'model'))}));
	app.put('/weights/:model/:version', async event => {
		const {bytes} = (await readBody<{bytes: number}>(event))!;
		weights.push({model: getRouterParam(event, 'model')!, weightVersion: getRouterParam(event, 'version')!, bytes});
		event.res.status = 204;
		return '';
	});
	app.post('/weights/:model/:version/loads', async event => {
		const stored = weights.find(({model, weightVersion}) => model === getRouterParam(event, 'model') && weightVersion === getRouterParam(event, 'version'));
		if (stored === undefined) {
			throw new HTTPError({status: 404, message: 'no such weights'});
		}

		counts.loads++;
		counts.loading++;
		const slowdown = Math.max(1, counts.loading / fullSpeedLoads);
		await delay(1000 * slowdown * stored.bytes / bytesPerSecond);
		counts.loading--;
		return {loaded: stored.weightVersion};
	});
	return {app, faults, counts: () => ({...counts, weights: weights.length})};
}
