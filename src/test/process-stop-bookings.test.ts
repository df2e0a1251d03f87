import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {sendBooking} from '../demo/demo-client.js';
import {demoDeclarationPath, permitsModelService} from '../demo/demo-declaration.js';
import {type DeployedProcess, Deployment} from '../demo/deployment.js';

const callers = 20;
const connectionEnds: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);

async function book(entry: DeployedProcess, name: string): Promise<string> {
	try {
		const {status, ran} = await sendBooking({
			entry: entry.listed.address, key: 'quay-demo-key', path: '/services/bookings/bookings', name, idempotencyKey: name,
		});
		return status === 201 ? 'booked' : `${status} ${ran ?? 'without "ran"'}`;
	} catch (error) {
		return (error as {code?: string}).code ?? String(error);
	}
}

test('over real processes: a graceful stop leaves no booking without an answer', async context => {
	// Guards against callers that cannot find out whether a booking ran because the instance that claimed the call was stopped.
	const deployment = new Deployment({
		dataCentres: ['split-riva'], entriesPerDataCentre: 2, enginesPerDataCentre: 1, modelServices: [permitsModelService], plainService: 'bookings', plainServicesPerDataCentre: 1,
	});
	await deployment.start();
	context.after(async () => deployment.stop());
	await deployment.apply(demoDeclarationPath, 'test', () => undefined);
	const stoppedEntry = deployment.withRole('entry')[0]!;
	const [service] = deployment.withRole('plain-service');
	const outcomes: string[] = [];
	const callInSeries = async (caller: number): Promise<void> => {
		for (let count = 0; ; count++) {
			const outcome = await book(stoppedEntry, `booking-${caller}-${count}`);
			outcomes.push(outcome);
			if (outcome === 'ECONNREFUSED') {
				return;
			}
		}
	};

	const exited = once(stoppedEntry.process.child, 'exit');
	const calling = Promise.all(Array.from({length: callers}, async (_, caller) => callInSeries(caller)));
	while (outcomes.length < 100) {
		await delay(5);
	}

	stoppedEntry.process.child.kill('SIGTERM');
	await calling;
	assert.deepEqual(await exited, [0, null]);
	const counts = new Map<string, number>();
	for (const outcome of outcomes) {
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
	}

	context.diagnostic(JSON.stringify([...counts]));
	// A call sent while its connection is being closed gets no answer. The equal counts show that none of these calls ran.
	const {runs} = await deployment.countsOf(service!.listed.address);
	assert.equal(counts.get('booked'), Number(runs));
	assert.deepEqual([...counts.keys()].filter(outcome => outcome !== 'booked' && !outcome.endsWith(' not-run') && !connectionEnds.has(outcome)), []);
});
