import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Left, Right} from 'purify-ts/Either';
import {changeOf} from '../../bench/bench-changes.js';
import {type TableService} from '../../ports/table-service.js';
import {emptyConfiguration} from '../../protocol/configuration/configuration-state.js';
import {ManualClock} from '../../test/manual-clock.js';
import {ConfigurationHolder} from '../configuration-holder.js';
import {ConfigurationWatcher} from './configuration-watcher.js';

const stepMilliseconds = 10;
const answerMilliseconds = 10;
const boundMilliseconds = 3000;
const callTimeoutMilliseconds = 1500;

test('a change is in force in time at an entry without links whose poll went unanswered once', async t => {
	// Guards against a backoff after the first failure: the poll's timeout and a doubled interval together exceed the bound.
	const clock = new ManualClock(0);
	const configuration = new ConfigurationHolder();
	const stop = new AbortController();
	t.after(() => {
		stop.abort();
	});
	const changeRow = {
		table: 'configuration', key: 'change', revision: 1, value: changeOf(emptyConfiguration, 1),
	};
	const events: string[] = [];
	let polls = 0;
	const table: Pick<TableService, 'scan'> = {
		async scan() {
			polls++;
			const isAnswered = polls !== 2;
			const rows = polls === 1 ? [] : [changeRow];
			await clock.sleep(isAnswered ? answerMilliseconds : callTimeoutMilliseconds, stop.signal);
			return isAnswered ? Right(rows) : Left({kind: 'unavailable', detail: 'no answer'});
		},
	};
	const watcher = new ConfigurationWatcher({
		clock,
		configuration,
		table: table as TableService,
		settings: {configurationPollMilliseconds: 500},
		logger: {
			warn: () => undefined,
		},
		timeline: {
			record({kind}) {
				events.push(kind);
			},
		},
	}, {isReader: true, random: () => 0});
	void watcher.run(stop.signal);
	for (let passed = 0; passed < boundMilliseconds; passed += stepMilliseconds) {
		await nextTurn();
		clock.advance(stepMilliseconds);
	}

	await nextTurn();
	assert.equal(configuration.state.version, 1);
	assert.deepEqual(events, ['table-available', 'table-unavailable', 'table-available']);
});
