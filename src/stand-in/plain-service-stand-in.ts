/**
 * Stands in for a plain service that takes bookings. It runs a booking each time that it receives it and counts the runs
 * of each booking, so that a check for duplicate runs does not depend on what savorygauge itself reports.
 */
import {H3, readBody} from 'h3';
import {type LoadReport} from '../ports/model-engine.js';
import {noFaults, type StandInDefinition} from './stand-in-server.js';

export function createPlainServiceStandIn(): StandInDefinition {
	const app = new H3();
	const faults = {...noFaults, leaving: false};
	const runsByBooking = new Map<string, number>();

	app.post('/bookings', async event => {
		const {booking} = await readBody<{booking: string}>(event) as {booking: string};
		const runs = (runsByBooking.get(booking) ?? 0) + 1;
		runsByBooking.set(booking, runs);
		event.res.status = 201;
		return {booking, confirmation: `confirmed-${booking}`, run: runs};
	});
	app.get('/load', () => loadReport(faults.leaving, Date.now()));
	app.get('/bookings/:booking', event => {
		const booking = event.context.params?.booking ?? '';
		return {booking, runs: runsByBooking.get(booking) ?? 0};
	});
	return {
		app,
		faults,
		counts: () => ({
			bookings: runsByBooking.size,
			runs: [...runsByBooking.values()].reduce((sum, runs) => sum + runs, 0),
			duplicateRuns: [...runsByBooking.values()].filter(runs => runs > 1).length,
			runsByBooking: Object.fromEntries(runsByBooking),
		}),
	};
}

/** A plain service reports its load in the engines' format; the fields about models, prompts and caches are empty. */
function loadReport(isLeaving: boolean, now: number): LoadReport {
	return {
		model: '',
		weightVersion: '',
		state: isLeaving ? 'leaving' : 'live',
		runningRequests: 0,
		waitingRequests: 0,
		waitingPrefillTokens: 0,
		prefillTokensPerSecond: 0,
		decodeTokensPerSecond: 0,
		batchLimit: 0,
		kvTokensUsed: 0,
		kvTokensCapacity: 0,
		measuredAt: now,
	};
}
