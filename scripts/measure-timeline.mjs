// Measures the timeline: the time that recording an event takes on the data path, the events a second that one collector
// receives from several senders, and the events that it retains. Run by `npm run measure:timeline`.
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {TimelineSender} from '../dist/observability/timeline-sender.js';
import {TimelineCollector} from '../dist/timeline/collector.js';
import {EventStore} from '../dist/timeline/event-store.js';

const senders = 8;
const eventsPerSender = 100_000;
const burst = 2000;
const keptEvents = 200_000;

const store = new EventStore(keptEvents);
let received = 0;
const collector = new TimelineCollector(store, ({events}) => {
	received += events.length;
});
const address = await collector.listen('127.0.0.1', 0);
const all = Array.from({length: senders}, (_, index) => new TimelineSender({program: 'measure', instance: `instance-${index}`, dataCentre: 'here'}, address));
const pause = async () => new Promise(resolve => {
	setTimeout(resolve, 1);
});

let recordMilliseconds = 0;
const startedAt = performance.now();
for (let done = 0; done < eventsPerSender; done += burst) {
	for (const sender of all) {
		const recordedAt = performance.now();
		for (let index = 0; index < burst; index++) {
			sender.record({
				kind: 'first-token', at: recordedAt, requestId: `request-${done + index}`, attempt: 1, workspace: 'quay', endpoint: 'engine-1',
			});
		}

		recordMilliseconds += performance.now() - recordedAt;
		sender.flush(recordedAt);
	}

	await pause();
}

const total = senders * eventsPerSender;
const dropped = () => all.map(sender => sender.dropped).reduce((sum, value) => sum + value, 0);
while (received + dropped() < total) {
	for (const sender of all) {
		sender.flush(performance.now());
	}

	await pause();
}

const seconds = (performance.now() - startedAt) / 1000;
await Promise.all(all.map(async sender => sender.close()));
await collector.close();
globalThis.gc?.();
console.log(JSON.stringify({
	events: total,
	senders,
	recordNanosecondsPerEvent: Math.round(recordMilliseconds * 1e6 / total),
	receivedPerSecond: Math.round(received / seconds),
	received,
	dropped: dropped(),
	missing: store.missing().length,
	kept: store.events().length,
	heapMegabytesWithKept: Math.round(process.memoryUsage().heapUsed / 1e6),
}));
