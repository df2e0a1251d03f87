import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Right} from 'purify-ts/Either';
import {type ListedInstance} from '../../shared/types.js';
import {TestEntry} from '../../test/test-entry.js';
import {InstanceWatcher} from './instance-watcher.js';

const listed: ListedInstance = {
	name: 'engine-1', role: 'model-engine', dataCentre: 'riva', service: 'permits', address: '127.0.0.1:1', peerAddress: '', state: 'live',
};

test('an empty list removes no endpoint', async () => {
	// The platform's instance list has just been replaced and is still empty. Guards against an entry that drops all its
	// endpoints and refuses every request with `no-endpoint` until the list is complete again.
	const entry = new TestEntry();
	const stop = new AbortController();
	const answers: ListedInstance[][] = [[listed], []];
	const context = {
		...entry.context,
		list: {
			async read() {
				const answer = answers.shift();
				if (answer === undefined) {
					stop.abort();
				}

				return Right(answer ?? []);
			},
		},
		clock: {
			now: () => entry.clock.now(), async sleep() {
			// Time does not matter here.
			},
		},
	};
	await new InstanceWatcher(context, [context.endpoints], () => 0).run(stop.signal);
	assert.deepEqual(context.endpoints.engines().map(({name}) => name), ['engine-1']);
});
