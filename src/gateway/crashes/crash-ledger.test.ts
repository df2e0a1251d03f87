import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	CrashLedger, maxKnownBlocks, maxReports, reportRetentionMilliseconds, type FeaturedRequest,
} from './crash-ledger.js';
import {type CrashReport} from './crash-reports.js';
import {decodeReport, encodeReport, keyOfReport} from './crash-report-rows.js';

function crash(incarnation: string, requests: string[], at = 0, instance = 'e1'): CrashReport {
	return {
		kind: 'crash', incarnation, instance, at, requests: requests.map(fingerprint => [fingerprint, 1]),
	};
}

function request(...features: string[]): FeaturedRequest {
	return {features: new Set(features), workspace: ''};
}

function ledgerOf(...reports: CrashReport[]): CrashLedger {
	const ledger = new CrashLedger();
	for (const report of reports) {
		ledger.put(keyOfReport(report), report);
	}

	return ledger;
}

test('reports of several instances about one crash count as one crash', () => {
	const ledger = ledgerOf(crash('a', ['crashing'], 0, 'e1'), crash('a', ['crashing'], 0, 'e2'), crash('a', ['crashing'], 0, 'e3'));
	assert.equal(ledger.blockOf(request('crashing'), 1), undefined);
});

test('a block names the crashes that it follows from, with who reported them and when', () => {
	const ledger = ledgerOf(crash('a', ['crashing'], 5, 'e1'), crash('b', ['crashing'], 6, 'e2'), crash('c', ['crashing', 'beside'], 7, 'e3'));
	assert.deepEqual(ledger.blockOf(request('crashing'), 8)?.crashes.map(({incarnation, instance, at}) => [incarnation, instance, at]), [['a', 'e1', 5], ['b', 'e2', 6], ['c', 'e3', 7]]);
	assert.equal(ledger.blockOf(request('beside'), 8), undefined);
});

test('a request that was answered since is not blocked by the crashes that it was present at', () => {
	const ledger = ledgerOf(crash('a', ['hot']), crash('b', ['hot']), crash('c', ['hot']));
	assert.notEqual(ledger.blockOf(request('hot'), 1), undefined);
	ledger.put('s', {
		kind: 'survival', instance: 'e1', at: 1, requests: [['hot', ['a', 'b']]],
	});
	assert.equal(ledger.blockOf(request('hot'), 1), undefined);
});

test('a block ends when its evidence expires', () => {
	const ledger = ledgerOf(crash('a', ['crashing'], 0), crash('b', ['crashing'], 10), crash('c', ['crashing'], 20));
	assert.equal(ledger.blockOf(request('crashing'), reportRetentionMilliseconds), undefined);
	const reported = ledgerOf(crash('a', ['crashing'], 0), crash('b', ['crashing'], 10), crash('c', ['crashing'], 20), crash('c', ['crashing'], 21, 'e2'), crash('c', ['crashing'], 22, 'e3'));
	assert.equal(reported.blockOf(request('crashing'), reportRetentionMilliseconds), undefined, 'further reports of one crash do not extend it');
	ledger.prune(reportRetentionMilliseconds + 100);
	assert.equal(ledger.reports().size, 0);
});

test('a flood of different requests that crash endpoints does not push out the evidence of a blocked one', () => {
	const ledger = ledgerOf(crash('a', ['crashing']), crash('b', ['crashing']), crash('c', ['crashing']));
	for (let number = 0; number < maxReports * 2; number++) {
		const report = crash(`flood-${number}`, [`once-${number}`], number + 1);
		ledger.put(keyOfReport(report), report);
		ledger.prune(number + 1);
	}

	assert.equal(ledger.reports().size, maxReports);
	assert.notEqual(ledger.blockOf(request('crashing'), maxReports * 2), undefined);
});

test('rows of other writers that cannot be read name no crash', () => {
	const report = crash('a', ['crashing']);
	assert.deepEqual(decodeReport(encodeReport(report)), report);
	for (const content of [undefined, null, 'text', {kind: 'crash'}, {...report, requests: [['crashing']]}, {...report, kind: 'other'}]) {
		assert.equal(decodeReport(content), undefined);
	}
});

test('invented blocks in many reports are bounded, and the evidence of what is blocked is kept', () => {
	const withBlocks = (number: number, blocks: string[]): CrashReport => ({
		...crash(`i${number}`, [`f${number}`], number * 1000), prompts: [{
			fingerprint: `f${number}`, workspace: 'own', hasBegun: true, blocks,
		}],
	});
	const ledger = ledgerOf(...[1, 2, 3].map(number => withBlocks(number, ['block:bad'])));
	for (let number = 4; number < 400; number++) {
		const report = withBlocks(number, Array.from({length: 256}, (_, index) => `block:${number}-${index}`));
		ledger.put(keyOfReport(report), report);
		ledger.prune(number * 1000);
	}

	const known = [...ledger.reports().values()].flatMap(report => report.kind === 'crash' ? report.prompts ?? [] : []).flatMap(({blocks}) => blocks);
	assert.ok(known.length <= maxKnownBlocks, `${known.length} blocks`);
	assert.notEqual(ledger.blockOf({features: new Set(['new', 'block:bad']), workspace: 'own'}, 400_000), undefined);
});

test('many changes at a time, as of a whole table, are one change for those that compute what follows from them', () => {
	const ledger = ledgerOf(crash('a', ['one']));
	let notified = 0;
	ledger.onChange(() => {
		notified++;
	});
	ledger.change(() => {
		for (let number = 0; number < 100; number++) {
			ledger.put(`key ${number}`, crash(`i${number}`, ['one']));
		}

		ledger.remove('key 0');
	});
	assert.equal(notified, 1);
	ledger.change(() => {
		ledger.remove('unknown');
	});
	assert.equal(notified, 1);
	assert.notEqual(ledger.blockOf(request('one'), 1), undefined);
});
