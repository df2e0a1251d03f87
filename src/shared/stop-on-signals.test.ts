import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import {type SignalTarget, stopOnSignals} from './stop-on-signals.js';

/** Sends signals to a process that takes a while to stop; returns what happened, in order. */
async function eventsAfter(...signals: Array<'SIGTERM' | 'SIGINT'>): Promise<string[]> {
	const events: string[] = [];
	// eslint-disable-next-line unicorn/prefer-event-target -- A process is an event emitter.
	const target = Object.assign(new EventEmitter(), {
		exit(code: number) {
			events.push(`exit ${code}`);
		},
	});
	let finish = (): void => undefined;
	stopOnSignals(async () => {
		events.push('stop');
		await new Promise<void>(resolve => {
			finish = resolve;
		});
	}, target as unknown as SignalTarget);
	for (const signal of signals) {
		target.emit(signal);
	}

	finish();
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	return events;
}

test('a second SIGTERM does not end requests that the first one lets finish', async () => {
	assert.deepEqual(await eventsAfter('SIGTERM', 'SIGTERM', 'SIGTERM'), ['stop', 'exit 0']);
});

test('a second SIGINT ends the process at once', async () => {
	assert.deepEqual(await eventsAfter('SIGINT'), ['stop', 'exit 0']);
	const [, ...ends] = await eventsAfter('SIGINT', 'SIGINT');
	assert.equal(ends[0], 'exit 130');
});
