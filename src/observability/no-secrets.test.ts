import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {text} from 'node:stream/consumers';
import {after, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {connectionPool} from '../adapters/http-client.js';
import {testOperatorKey, TestEntries} from '../entry/operators/test-entries.js';
import {OperatorClient} from '../operator/operator-client.js';
import {digestOf} from '../shared/digest-of.js';
import {EventStore} from '../timeline/event-store.js';
import {TimelineCollector} from '../timeline/collector.js';

after(async () => connectionPool.close());

const secrets = {
	prompt: 'a-prompt-that-nobody-may-log',
	callerKey: 'a-caller-key-that-nobody-may-log',
	wrongKey: 'a-wrong-key-that-nobody-may-log',
	idempotencyKey: 'an-idempotency-key-that-nobody-may-log',
	operatorKey: testOperatorKey,
	cacheSecret: 'cache-secret-of-the-tests',
};

// Guards against prompts and keys in logs, metrics and the timeline. An entry logs at its lowest level while it serves and
// refuses requests: without an endpoint, with a wrong key, with a malformed body, and to a service that has no endpoint.
test('neither logs nor metrics nor the timeline contain a prompt or a key', async t => {
	const platform = new TestEntries();
	await platform.start(0);
	t.after(async () => platform.stop());
	const store = new EventStore(10_000);
	const collector = new TimelineCollector(store, () => undefined);
	const timelineAddress = await collector.listen('127.0.0.1', 0);
	t.after(async () => collector.close());
	const metrics: string[] = [];
	const statsd = createSocket('udp4', message => {
		metrics.push(message.toString());
	});
	statsd.bind(0, '127.0.0.1');
	await once(statsd, 'listening');
	t.after(() => statsd.close());

	const entry = spawn(process.execPath, [
		fileURLToPath(new URL('../entry/main.js', import.meta.url)),
		...Object.entries(platform.entryFlags('entry-1')).flatMap(([flag, value]) => [`--${flag}`, value]),
		'--log-level',
		'debug',
		'--timeline-address',
		timelineAddress,
		'--metrics-address',
		`127.0.0.1:${(statsd.address()).port}`,
	], {stdio: ['ignore', 'pipe', 'pipe']});
	t.after(() => entry.kill('SIGKILL'));
	const logs = text(entry.stderr);
	const [line] = await once(createInterface({input: entry.stdout}), 'line') as [string];
	const {callers, operators} = JSON.parse(line) as {callers: string; operators: string};
	const answers = await sendRequests(callers, operators);
	entry.kill('SIGTERM');
	const written = await logs;

	assert.deepEqual(answers, [200, 401, 400, 503, 503]);
	assert.ok(store.events().some(({kind}) => kind === 'request-refused'));
	assert.ok(written.includes('listening') && metrics.length > 0);
	const everything = {written, metrics: metrics.join('\n'), events: JSON.stringify(store.events())};
	for (const [place, content] of Object.entries(everything)) {
		for (const [name, secret] of Object.entries(secrets)) {
			assert.ok(!content.includes(secret), `${name} was found in ${place}`);
		}
	}
});

async function sendRequests(callers: string, operators: string): Promise<number[]> {
	await new OperatorClient(operators, testOperatorKey).propose({
		plannedAgainst: 0,
		author: 'ana',
		reason: 'test',
		edits: [
			{
				action: 'set', kind: 'service', item: {
					name: 'permits', kind: 'model', model: 'permit-1', weightVersion: 'w1', fencing: 'checked', paused: false,
				},
			},
			{
				action: 'set', kind: 'service', item: {
					name: 'bookings', kind: 'plain', neverTwice: [{method: 'POST', path: '/bookings'}], fencing: 'ignored', paused: false,
				},
			},
			{
				action: 'set', kind: 'workspace', item: {
					name: 'quay', keyDigests: [digestOf(secrets.callerKey)], priority: 'urgent', share: 1, services: ['permits', 'bookings'],
				},
			},
		],
	});
	const call = async (path: string, key: string, body: string): Promise<number> => {
		const answer = await fetch(`http://${callers}${path}`, {
			method: 'POST', headers: {authorization: `Bearer ${key}`, 'idempotency-key': secrets.idempotencyKey, 'content-type': 'application/json'}, body,
		});
		await answer.arrayBuffer();
		return answer.status;
	};

	const prompt = JSON.stringify({model: 'permit-1', messages: [{role: 'user', content: secrets.prompt}]});
	const models = await fetch(`http://${callers}/v1/models`, {headers: {authorization: `Bearer ${secrets.callerKey}`}});
	await models.arrayBuffer();
	return [
		models.status,
		await call('/v1/chat/completions', secrets.wrongKey, prompt),
		await call('/v1/chat/completions', secrets.callerKey, prompt.slice(0, -3)),
		await call('/v1/chat/completions', secrets.callerKey, prompt),
		await call('/services/bookings/bookings', secrets.callerKey, prompt),
	];
}
