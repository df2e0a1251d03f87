import assert from 'node:assert/strict';
import {appendFile, mkdtemp, rm} from 'node:fs/promises';
import {connect} from 'node:net';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {type TimelineEvent} from '../observability/timeline-event.js';
import {TimelineSender} from '../observability/timeline-sender.js';
import {encodeFrame} from '../peer/framing/frame-codec.js';
import {checkSettings} from '../settings/read-settings.js';
import {TimelineCollector} from './collector.js';
import {drawHtml, drawSvg} from './draw-svg.js';
import {drawText} from './draw-text.js';
import {EventStore} from './event-store.js';
import {readCollector} from './read-collector.js';
import {buildRequestTrace} from './request-trace.js';
import {EventSaver, readSavedEvents} from './saved-events.js';
import {checkCommand} from './timeline-commands.js';
import {type TimelineReply} from './timeline-messages.js';
import {timelineSettingDefinitions} from './timeline-settings.js';

const identity = {program: 'savorygauge-entry', instance: 'riva-1', dataCentre: 'riva'};

function eventOf(sequence: number, further: Partial<TimelineEvent> = {}): TimelineEvent {
	return {
		...identity, sequence, kind: 'request-arrived', at: 1_700_000_000_000 + sequence, requestId: 'r1', ...further,
	};
}

test('gaps in the sequence of a process start are reported, apart from the events that the process itself dropped', () => {
	const store = new EventStore(1000);
	store.add({events: [eventOf(1), eventOf(2)], start: 1, dropped: 0});
	store.add({events: [eventOf(6), eventOf(9)], start: 1, dropped: 3});
	store.add({events: [eventOf(1)], start: 2, dropped: 0});
	assert.deepEqual(store.missing(), [{
		instance: 'riva-1', program: 'savorygauge-entry', dropped: 3, lost: 2,
	}]);
});

test('the store retains the newest events within its bound', () => {
	const store = new EventStore(1000);
	for (let batch = 0; batch < 50; batch++) {
		store.add({events: Array.from({length: 100}, (_, index) => eventOf((batch * 100) + index + 1)), start: 1, dropped: 0});
	}

	const retained = store.events();
	assert.ok(retained.length >= 1000 && retained.length <= 1100, String(retained.length));
	assert.equal(retained.at(-1)!.sequence, 5000);
});

test('events pass from a sender through the collector to a reader with a filter, and to a follower', async t => {
	const arrived: TimelineEvent[] = [];
	const collector = new TimelineCollector(new EventStore(1000), ({events}) => {
		arrived.push(...events);
	});
	const address = await collector.listen('127.0.0.1', 0);
	t.after(async () => collector.close());
	const follower = readCollector(address, {query: {kinds: ['first-token']}, follow: true});
	const first = await follower.next();
	assert.deepEqual((first.value as TimelineReply).events, []);
	const sender = new TimelineSender(identity, address);
	sender.record({kind: 'request-arrived', at: 1, requestId: 'r1'});
	sender.record({kind: 'request-arrived', at: 2, requestId: 'r2'});
	sender.record({
		kind: 'first-token', at: 3, requestId: 'r1', attempt: 1, endpoint: 'engine-1',
	});
	const followed = await follower.next();
	assert.deepEqual((followed.value as TimelineReply).events.map(({requestId}) => requestId), ['r1']);
	assert.equal(arrived.length, 3);
	await sender.close();
	const read: TimelineEvent[] = [];
	for await (const {events} of readCollector(address, {query: {request: 'r2'}, follow: false})) {
		read.push(...events);
	}

	assert.deepEqual(read.map(({sequence}) => sequence), [2]);
	await follower.return(undefined);
});

// A faulty process sends the collector bytes that are not valid messages. Only its own connection may be closed; events of
// other processes must still be received.
test('a connection that sends an invalid message is closed, and the collector keeps working', async t => {
	const store = new EventStore(1000);
	const collector = new TimelineCollector(store, () => undefined);
	const address = await collector.listen('127.0.0.1', 0);
	t.after(async () => collector.close());
	const port = Number(address.split(':')[1]);
	for (const bytes of ['GET / HTTP/1.1\r\n\r\n', encodeFrame({events: [{kind: 7}], dropped: 0}), encodeFrame('word')]) {
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.resume();
		socket.write(bytes);
		await once(socket, 'close');
	}

	const good = connect(port, '127.0.0.1');
	good.end(encodeFrame({events: [eventOf(1)], start: 1, dropped: 0}));
	good.resume();
	await once(good, 'close');
	assert.equal(store.events().length, 1);
});

test('events are saved as JSON lines and read back; a line that was cut off is reported by its number', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'timeline-'));
	t.after(async () => rm(folder, {recursive: true}));
	const file = path.join(folder, 'events.jsonl');
	const saver = new EventSaver(file, error => {
		assert.ifError(error);
	});
	saver.save([eventOf(1), eventOf(2, {requestId: 'r2'})]);
	await saver.close();
	const saverAgain = new EventSaver(file, error => {
		assert.ifError(error);
	});
	saverAgain.save([eventOf(3)]);
	await saverAgain.close();
	await appendFile(file, '{"kind":"request-ar');
	const {events, badLines} = await readSavedEvents(file, {request: 'r1'});
	assert.deepEqual({sequences: events.map(({sequence}) => sequence), badLines}, {sequences: [1, 3], badLines: [4]});
});

test('the trace of a request is drawn across all processes, as text and as SVG and HTML', () => {
	const common = {workspace: 'quay', attempt: 1, endpoint: 'engine-1'};
	const trace = buildRequestTrace('r1', [
		eventOf(4, {kind: 'request-finished', at: 1_700_000_000_040}),
		eventOf(1, {workspace: 'quay'}),
		eventOf(2, {kind: 'attempt-sent', ...common}),
		eventOf(3, {kind: 'attempt-failed', ...common, detail: 'a <broken> stream'}),
		eventOf(5, {requestId: 'another'}),
	])!;
	assert.deepEqual(drawText(trace), [
		'request r1 of quay, 2023-11-14T22:13:20.001Z, 4 events',
		'            caller        riva-1        engine-1',
		'+0 ms       |------------>|             |             request-arrived',
		'+1 ms       |             |------------>|             attempt-sent #1',
		'+2 ms       |             |<------------|             !! attempt-failed #1 (a <broken> stream)',
		'+39 ms      |<------------|             |             request-finished',
	]);
	assert.ok(drawSvg(trace).includes('a &lt;broken&gt; stream'));
	assert.ok(drawHtml(trace).startsWith('<!doctype html>'));
	assert.equal(buildRequestTrace('nobody', []), undefined);
});

test('settings that do not fit the command are reported as findings', () => {
	const settings = checkSettings(timelineSettingDefinitions, {flags: {output: 'a.png'}, environment: {}}).unsafeCoerce();
	assert.deepEqual(checkCommand('draw', settings).map(({place}) => place), ['--collector', '--request', '--output'].map(name => ({source: 'flag', name})));
});
