import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type AnswerProgress} from '../../decision/crashes/answer-progress.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {ManualClock} from '../../test/manual-clock.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {CrashLedger, type Block} from './crash-ledger.js';
import {keyOfReport} from './crash-report-rows.js';
import {type Report} from './crash-reports.js';
import {EndpointCrashes} from './endpoint-crashes.js';

function ignore(): void {
	// Nothing is known of endpoints here.
}

/** An instance that receives reports of crashes; its own reports are collected. */
class Instance {
	readonly manual = new ManualClock(1_000_000);
	readonly clock: MomentClock = {
		moment: () => ({wall: this.manual.now(), steady: this.manual.now()}),
		sleep: async (milliseconds, signal) => this.manual.sleep(milliseconds, signal),
	};

	readonly ledger = new CrashLedger();
	readonly published: Report[] = [];
	readonly crashes = new EndpointCrashes({
		instance: 'e1',
		clock: this.clock,
		log: {
			record() {
				// Nothing is lost here.
			},
		},
		metrics: new GatewayMetrics(),
		endpoints: {hasDeparted: () => false, noteEnded: ignore},
		ledger: this.ledger,
		hasOpenConnection: () => false,
		probe: async () => 'silent',
		random: () => 0,
		claim: async (key, report): Promise<boolean> => {
			if (this.ledger.reports().has(key)) {
				return false;
			}

			this.ledger.put(key, report);
			return true;
		},
		publish: (report): void => {
			this.published.push(report);
			this.ledger.put(keyOfReport(report), report);
		},
	});

	/** Receives the report of a crash of a prompt with these blocks, a second after the last one. */
	receiveCrash(blocks: string[], progress: AnswerProgress = 'begun'): void {
		this.manual.advance(1000);
		const {wall} = this.clock.moment();
		const report: Report = {
			kind: 'crash', incarnation: `i${wall}`, instance: 'e2', at: wall, requests: [[`f${wall}`, 1]], prompts: [{
				fingerprint: `f${wall}`, workspace: 'own', hasBegun: progress === 'begun', isAnswering: progress === 'answering', blocks,
			}],
		};
		this.ledger.put(keyOfReport(report), report);
	}

	/** Answers a request that was sent just now. */
	answer(...features: string[]): void {
		this.crashes.noteServed(new Set(features), this.clock.moment().steady);
	}

	blockOf(...features: string[]): Block | undefined {
		return this.crashes.blockOf({features: new Set(features), workspace: 'own'});
	}
}

test('a block that was answered here since the crashes is not blocked, and those that crashed beside it still are', () => {
	const instance = new Instance();
	for (let number = 0; number < 3; number++) {
		instance.receiveCrash(['block:bad', 'block:shared']);
	}

	assert.equal(instance.blockOf('1', 'block:shared'), undefined);
	assert.equal(instance.blockOf('1', 'block:bad'), undefined, 'no crash distinguishes the two');
	assert.notEqual(instance.blockOf('1', 'block:bad', 'block:shared'), undefined);
	instance.manual.advance(1);
	instance.answer('2', 'block:shared');
	assert.notEqual(instance.blockOf('1', 'block:bad'), undefined);
	assert.equal(instance.blockOf('1', 'block:shared'), undefined);
});

test('a block that was answered well before it began to crash endpoints is blocked all the same', () => {
	const instance = new Instance();
	instance.answer('1', 'block:turned');
	for (let number = 0; number < 3; number++) {
		instance.receiveCrash(['block:turned']);
	}

	assert.notEqual(instance.blockOf('2', 'block:turned'), undefined);
});

test('an answer to a request that was sent before a crash does not clear a block whose answer had begun there', () => {
	const instance = new Instance();
	const sentAt = instance.clock.moment().steady;
	for (let number = 0; number < 3; number++) {
		instance.receiveCrash(['block:turned']);
	}

	instance.crashes.noteServed(new Set(['1', 'block:turned']), sentAt);
	assert.notEqual(instance.blockOf('2', 'block:turned'), undefined);
});

test('a block that most prompts have is not blocked by crashes at which its prompts only waited', () => {
	const instance = new Instance();
	instance.answer('1', 'block:popular');
	for (let number = 0; number < 4; number++) {
		instance.receiveCrash(['block:popular'], 'unanswered');
	}

	assert.equal(instance.blockOf('2', 'block:popular'), undefined);
});

test('a block is blocked once five endpoints have ended while its prompts were being answered', () => {
	const instance = new Instance();
	for (let number = 0; number < 4; number++) {
		instance.receiveCrash(['block:bad'], 'answering');
	}

	assert.equal(instance.blockOf('1', 'block:bad'), undefined);
	instance.receiveCrash(['block:bad'], 'answering');
	assert.notEqual(instance.blockOf('1', 'block:bad'), undefined);
	assert.equal(instance.blockOf('1', 'block:other'), undefined);
});

test('a block that was answered is not blocked by crashes at which its prompts were being answered, before or after that answer', () => {
	const instance = new Instance();
	for (let number = 0; number < 8; number++) {
		instance.receiveCrash(['block:popular', 'block:late'], 'answering');
		if (number === 1) {
			instance.answer('1', 'block:popular');
		}
	}

	assert.equal(instance.blockOf('2', 'block:popular'), undefined);
	assert.notEqual(instance.blockOf('2', 'block:late'), undefined);
	instance.answer('3', 'block:late');
	assert.equal(instance.blockOf('2', 'block:late'), undefined);
});

test('what an instance has seen answered reaches the others in one report', async () => {
	const instance = new Instance();
	instance.receiveCrash(['block:bad', 'block:shared']);
	instance.receiveCrash(['block:bad', 'block:shared']);
	instance.manual.advance(1);
	instance.answer('1', 'block:shared');
	instance.manual.advance(1000);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	const [survival, ...others] = instance.published;
	assert.deepEqual(others, []);
	assert.ok(survival?.kind === 'survival');
	assert.deepEqual(survival.requests.map(([feature, incarnations]) => [feature, incarnations.length]), [['block:shared', 2]]);
});

test('a block that has become narrower by a clearance is not held anew', () => {
	const instance = new Instance();
	for (let number = 0; number < 3; number++) {
		instance.receiveCrash(['block:bad', 'block:shared']);
	}

	instance.manual.advance(2000);
	instance.answer('2', 'block:shared');
	assert.equal(instance.crashes.isUnsettled(instance.blockOf('1', 'block:bad')!), false);
});

test('a block ends by the trial of one instance, at most one at a time and ever more seldom', async () => {
	const instance = new Instance();
	for (let number = 0; number < 3; number++) {
		instance.receiveCrash(['block:mended']);
	}

	const isTried = async (): Promise<boolean> => instance.crashes.mayTry(instance.blockOf('1', 'block:mended')!);
	assert.equal(await isTried(), false);
	instance.manual.advance(900_000);
	assert.deepEqual([await isTried(), await isTried()], [true, false]);
	instance.receiveCrash(['block:mended']);
	instance.manual.advance(900_000);
	assert.equal(await isTried(), false, 'the first trial has failed');
	instance.manual.advance(2_700_000);
	assert.equal(await isTried(), true);
	instance.answer('2', 'block:mended');
	assert.equal(instance.blockOf('3', 'block:mended'), undefined);
});

test('of two instances that know the same block only the one that claims the trial first may make it', async () => {
	const [first, second] = [new Instance(), new Instance()];
	for (const instance of [first, second]) {
		for (let number = 0; number < 3; number++) {
			instance.receiveCrash(['block:bad']);
		}

		instance.manual.advance(900_000);
	}

	const known = second.blockOf('1', 'block:bad')!;
	assert.equal(await first.crashes.mayTry(first.blockOf('1', 'block:bad')!), true);
	for (const [key, report] of first.ledger.reports()) {
		second.ledger.put(key, report);
	}

	assert.equal(await second.crashes.mayTry(known), false);
});
