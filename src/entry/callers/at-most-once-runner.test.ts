import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {Left, Right} from 'purify-ts/Either';
import {type TableFailure, type TableService} from '../../ports/table-service.js';
import {ConfigurationHolder} from '../configuration-holder.js';
import {Choices} from '../../check/choices.js';
import {createProcess, FaultSimulation} from '../../check/simulation.js';
import {AtMostOnceRunner} from './at-most-once-runner.js';

const timeoutMilliseconds = 1500;

function tableThatFails(world: FaultSimulation, failure: TableFailure, milliseconds: number): TableService {
	const fail = async () => {
		await world.delay(milliseconds);
		return Left(failure);
	};

	return {read: fail, scan: fail, commit: fail};
}

function startRunner(world: FaultSimulation, table: TableService): {run: (key: string) => Promise<number>; sent: () => number; outcomes: string[]} {
	const process = createProcess('entry-1');
	const outcomes: string[] = [];
	let sent = 0;
	const runner = new AtMostOnceRunner({
		clock: world.clockOf(process), table, configuration: new ConfigurationHolder(), settings: {instance: 'entry-1'}, endpoints: {entryCount: 18},
	});
	const run = async (claimKey: string): Promise<number> => {
		const startedAt = world.now;
		const outcome = await runner.run({
			claimKey,
			bodyDigest: 'body',
			askAt: '',
			configurationVersion: 0,
			refuseByConfiguration: () => undefined,
			async send() {
				sent++;
				return Right({status: 201, headers: {}, body: Buffer.alloc(0)});
			},
		});
		outcomes.push(outcome.caseOf({Left: ({reason, ran}) => `${reason} ${ran}`, Right: () => 'answered'}));
		return world.now - startedAt;
	};

	return {run, sent: () => sent, outcomes};
}

test('while the platform is down, a call that needs a claim is refused as not-run without a long wait', async () => {
	// The table service refuses connections, or is partitioned and does not answer. The first caller waits at most for one
	// write and one read; later callers are refused without a wait, and nothing is sent.
	const down: TableFailure = {kind: 'unavailable', detail: 'refused'};
	const unanswered: TableFailure = {kind: 'outcome-unknown', detail: 'timeout'};
	for (const [failure, milliseconds] of [[down, 0], [unanswered, timeoutMilliseconds]] as const) {
		const world = new FaultSimulation(Choices.replay([]));
		const {run, sent, outcomes} = startRunner(world, tableThatFails(world, failure, milliseconds));
		const waits: number[] = [];
		for (const [index, at] of [0, 1600, 1700, 1800].entries()) {
			world.schedule(at, () => {
				void run(`key-${index}`).then(waited => waits.push(waited));
			});
		}

		await world.run();
		assert.deepEqual(outcomes, Array.from({length: 4}, () => 'platform-unavailable not-run'));
		assert.ok(Math.max(...waits) <= 2 * timeoutMilliseconds, String(waits));
		assert.ok(waits.filter(waited => waited > 0).length <= 1, String(waits));
		assert.equal(sent(), 0);
	}
});

test('claims beyond the instance\'s share of the rate limit are refused instead of queued', async () => {
	// 200 calls arrive together at one of 18 instances while the table service takes a second for each answer. A few start;
	// all others are refused immediately, as not run and with the time after which to retry.
	const world = new FaultSimulation(Choices.replay([]));
	const {run, outcomes} = startRunner(world, tableThatFails(world, {kind: 'unavailable', detail: 'slow'}, 1000));
	for (let index = 0; index < 200; index++) {
		world.schedule(0, () => {
			void run(`key-${index}`);
		});
	}

	await world.run();
	const refused = outcomes.filter(text => text === 'claim-rate not-run').length;
	assert.equal(outcomes.length, 200);
	assert.ok(refused >= 180, String(refused));
});
