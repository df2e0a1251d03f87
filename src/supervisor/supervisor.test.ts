import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type Child, RestartIntensityError, Supervisor, type SupervisorEvent,
} from './supervisor.js';

const untilAborted = async (signal: AbortSignal): Promise<void> => new Promise(resolve => {
	if (signal.aborted) {
		resolve();
		return;
	}

	signal.addEventListener('abort', () => {
		resolve();
	});
});

test('a failed child is restarted and the others keep running', async () => {
	const stop = new AbortController();
	let starts = 0;
	let otherStarts = 0;
	const events: SupervisorEvent[] = [];
	const children: Child[] = [
		{
			name: 'fragile', async run(signal) {
				starts++;
				if (starts < 3) {
					throw new Error('broken');
				}

				stop.abort();
				await untilAborted(signal);
			},
		},
		{
			name: 'steady', async run(signal) {
				otherStarts++;
				await untilAborted(signal);
			},
		},
	];
	await new Supervisor({
		name: 'root', strategy: 'one-for-one', intensity: {restarts: 5, periodMilliseconds: 1000}, children, now: () => 0, report(event) {
			events.push(event);
		},
	}).run(stop.signal);
	assert.equal(starts, 3);
	assert.equal(otherStarts, 1);
	assert.deepEqual(events.map(({child, kind}) => [child, kind]), [['fragile', 'restarted'], ['fragile', 'restarted']]);
});

test('a child that fails too often fails its supervisor', async () => {
	const child: Child = {
		name: 'hopeless', async run() {
			throw new Error('broken');
		},
	};
	const supervisor = new Supervisor({
		name: 'root', strategy: 'one-for-one', intensity: {restarts: 3, periodMilliseconds: 1000}, children: [child], now: () => 0, report() {
			// This test checks only the error.
		},
	});
	await assert.rejects(supervisor.run(new AbortController().signal), RestartIntensityError);
});
