import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {encodeFrame} from '../peer/framing/frame-codec.js';
import {connectionEndings, startEndingServer} from '../test/ending-server.js';
import {startScriptedServer} from '../test/scripted-server.js';
import {readCollector} from './read-collector.js';
import {type TimelineQuery} from './timeline-messages.js';

test('a timeline that is cut off is an error for its reader, however the connection ends', async t => {
	// An operator reads the trace of a request, and the collector dies after a reply that is not the last one, or in the
	// middle of the last one. The events received so far must not be taken for the whole trace.
	const first = encodeFrame({
		events: [], missing: [], skipped: 0, isComplete: false,
	});
	const last = encodeFrame({
		events: [], missing: [], skipped: 0, isComplete: true,
	});
	const query: TimelineQuery = {query: {}, follow: false};
	const outcomes = new Map<string, number>();
	for (const ending of connectionEndings) {
		for (const bytes of [first, Buffer.concat([first, last.subarray(0, -1)]), Buffer.concat([first, last])]) {
			const isWhole = bytes.length === first.length + last.length;
			const address = await startEndingServer(t, bytes, ending);
			for (let count = 0; count < 50; count++) {
				const outcome = await readToEnd(address, query);
				const name = `${isWhole ? 'whole' : 'half'} ${ending}: ${outcome}`;
				outcomes.set(name, (outcomes.get(name) ?? 0) + 1);
			}
		}
	}

	t.diagnostic(JSON.stringify([...outcomes]));
	assert.deepEqual([...outcomes.keys()].filter(name => name.startsWith('half') && !name.endsWith('error')), []);
	assert.equal(outcomes.get('whole closed: complete'), 50);
});

for (const [name, bytes] of Object.entries({
	'sends nothing': Buffer.alloc(0),
	'stops within a reply': encodeFrame({
		events: [], missing: [], skipped: 0, isComplete: true,
	}).subarray(0, -1),
})) {
	test(`a collector that ${name} is an error for its reader`, async t => {
		// Guards against operators and scripts that wait forever for a collector that hangs.
		const server = await startScriptedServer(t, socket => {
			socket.write(bytes);
		});
		const outcome = await Promise.race([readToEnd(server.address, {query: {}, follow: false}), pause(8000, 'waits')]);
		assert.equal(outcome, 'error');
	});
}

async function readToEnd(address: string, query: TimelineQuery): Promise<string> {
	let isComplete = false;
	try {
		for await (const reply of readCollector(address, query)) {
			isComplete ||= reply.isComplete;
		}
	} catch {
		return 'error';
	}

	return isComplete ? 'complete' : 'ended without an error';
}
