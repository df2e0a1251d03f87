import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {connectionPool} from '../adapters/http-client.js';
import {testOperatorKey, TestEntries} from '../entry/operators/test-entries.js';
import {OperatorConsole} from './operator-console.js';
import {OperatorClient} from './operator-client.js';

after(async () => connectionPool.close());

type ConsoleResult = {status: number; lines: string[]; problems: string[]};

async function start(furtherAddresses: readonly string[] = []): Promise<{entries: TestEntries; ask(text: string, confirmed?: boolean): Promise<ConsoleResult>}> {
	const entries = new TestEntries();
	await entries.start(2, {'list-poll-milliseconds': '10'});
	const clients = [...entries.addresses.map(({operators}) => operators), ...furtherAddresses].map(address => new OperatorClient(address, testOperatorKey));
	await clients[0]!.propose({
		plannedAgainst: 0,
		author: 'ana',
		reason: 'first',
		edits: [{
			action: 'set', kind: 'service', item: {
				name: 'permits', kind: 'model', model: 'permit-1', weightVersion: 'w1', fencing: 'checked', paused: false,
			},
		}],
	});
	const ask = async (text: string, confirmed = false): Promise<ConsoleResult> => {
		const result: ConsoleResult = {status: 0, lines: [], problems: []};
		const operatorConsole = new OperatorConsole(clients, {author: 'ana', json: false, yes: false}, {
			line(line) {
				result.lines.push(line);
			},
			problem(line) {
				result.problems.push(line);
			},
		});
		result.status = await operatorConsole.execute(text, async () => confirmed);
		return result;
	};

	return {entries, ask};
}

test('a command is previewed, carried out only when confirmed, and recorded with author, time and reason', async t => {
	const {entries, ask} = await start();
	t.after(async () => entries.stop());
	const unconfirmed = await ask('pause permits because "fire drill"');
	assert.equal(unconfirmed.status, 1);
	assert.ok(unconfirmed.lines.includes('    paused: false -> true'), unconfirmed.lines.join('\n'));
	const before = await ask('services where paused = true');
	assert.equal(before.lines.at(-1), '0 rows');

	const done = await ask('pause permits because "fire drill"', true);
	assert.equal(done.status, 0, done.problems.join('\n'));
	const services = await ask('services where paused = true');
	assert.equal(services.lines.at(-1), '1 row');
	const acts = await ask('acts where author = ana and reason contains drill');
	assert.match(acts.lines[1]!, /ana +pause permits +fire drill +done: accepted as version 2 +entry-1/v);
	const again = await ask('pause permits because "fire drill"', true);
	assert.equal(again.status, 2);
	assert.match(again.problems.join('\n'), /\^ column 7: "permits" is paused already/v);
});

// The platform's table service is down when an operator pauses a service. The command cannot be recorded, so it must not
// be carried out, and the operator must be told so. Reads of what the instances themselves know must still work.
test('while the table service is down, a command that cannot be recorded is not carried out', async t => {
	const {entries, ask} = await start();
	t.after(async () => entries.stop());
	await entries.setTableFaults({down: true});
	const refused = await ask('pause permits because "fire drill"', true);
	assert.equal(refused.status, 1);
	assert.match(refused.problems.join('\n'), /could not be recorded \(unavailable\), so nothing was done/v);
	const acts = await ask('acts');
	assert.match(acts.problems.join('\n'), /table service cannot be read/v);
	const configuration = await ask('configuration where version = 1 order by instance');
	assert.match(configuration.lines.join('\n'), /entry-1/v);
	await entries.setTableFaults({down: false});
});

test('sources per instance are read from all entries, and an unreachable entry is reported', async t => {
	const {entries, ask} = await start(['127.0.0.1:1']);
	t.after(async () => entries.stop());
	const both = await ask('configuration order by instance desc');
	assert.deepEqual(both.lines.slice(1, 3).map(line => line.split(' ')[0]), ['entry-2', 'entry-1']);
	assert.equal(both.status, 1);
	assert.match(both.problems.join('\n'), /the request to 127\.0\.0\.1:1 failed: /v);
	const cancelled = await ask('cancel no-such-request because "test"', true);
	assert.equal(cancelled.status, 1);
	assert.match(cancelled.problems.join('\n'), /serves no request no-such-request/v);
});
