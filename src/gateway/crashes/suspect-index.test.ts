import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Choices} from '../../check/choices.js';
import {CrashLedger} from './crash-ledger.js';
import {type CrashReport, type Report} from './crash-reports.js';

/** The report of one of many instances about one of many crashes; callers of all instances share the block of their workspace. */
function reportOf(instance: number, incarnation: string, at = 0): CrashReport {
	const prompts = [1, 2].map(number => ({
		fingerprint: `${instance}-${incarnation}-${number}`,
		workspace: `w${number}`,
		hasBegun: true,
		blocks: [`block:w${number}`, ...Array.from({length: 20}, (_, block) => `block:${instance}-${number}-${block}`)],
	}));
	return {
		kind: 'crash', incarnation, instance: `e${instance}`, at, requests: prompts.map(({fingerprint}) => [fingerprint, 100]), prompts,
	};
}

test('an answer after many endpoints have crashed does not go through the reports of all instances again', () => {
	// Guards against instances that spend half a second of processor time on attribution in the second after the crashes.
	const ledger = new CrashLedger();
	let reads = 0;
	const countReads = ({requests, ...report}: CrashReport): CrashReport => ({
		...report,
		get requests() {
			reads++;
			return requests;
		},
	});
	ledger.change(() => {
		for (let instance = 0; instance < 38; instance++) {
			for (let endpoint = 0; endpoint < 13; endpoint++) {
				ledger.put(`${instance}/${endpoint}`, countReads(reportOf(instance, `i${endpoint}`, endpoint * 300)));
			}
		}
	});
	assert.ok(ledger.blocks.length > 0);
	reads = 0;
	for (let instance = 0; instance < 38; instance++) {
		for (let block = 0; block < 20; block++) {
			const feature = `block:${instance}-1-${block}`;
			ledger.clear(feature, ledger.suspects.get(feature)?.keys() ?? []);
			assert.equal(ledger.blockOf({features: new Set([feature]), workspace: 'w1'}, 4000), undefined);
		}
	}

	assert.ok(reads <= 38 * 13 * 10, `${reads} reads of reports for 760 answers`);
});

function randomReport(choices: Choices): Report {
	const incarnation = `i${choices.between(1, 6)}`;
	const at = choices.between(0, 3000);
	const blocks = Array.from({length: choices.between(0, 4)}, () => `block:${choices.between(1, 6)}`);
	if (choices.chance(30)) {
		return {
			kind: 'survival', instance: 'e1', at, requests: blocks.map(block => [block, [incarnation, `i${choices.between(1, 6)}`]]),
		};
	}

	const fingerprint = `request-${choices.between(1, 5)}`;
	const prompts = [{
		fingerprint, workspace: `w${choices.between(1, 2)}`, hasBegun: choices.chance(50), blocks,
	}];
	return {
		kind: 'crash', incarnation, instance: `e${choices.between(1, 5)}`, at, requests: [[fingerprint, choices.between(1, 500)]], prompts,
	};
}

test('what is blocked and suspected after any changes is what a new ledger finds from the same reports and answers', () => {
	// Guards against an index that keeps what was removed or cleared, or loses what is suspected again.
	let blocked = 0;
	for (let seed = 1; seed <= 40; seed++) {
		const choices = Choices.fromSeed(seed);
		const ledger = new CrashLedger();
		const cleared: Array<[feature: string, incarnation: string]> = [];
		for (let change = 0; change < 120; change++) {
			const key = `report-${choices.between(1, 40)}`;
			if (choices.chance(20)) {
				ledger.remove(key);
			} else if (choices.chance(10)) {
				const feature = `block:${choices.between(1, 6)}`;
				const incarnations = [...ledger.suspects.get(feature)?.keys() ?? []].slice(0, 2);
				ledger.clear(feature, incarnations);
				cleared.push(...incarnations.map((incarnation): [string, string] => [feature, incarnation]));
			} else {
				ledger.put(key, randomReport(choices));
			}

			const fresh = new CrashLedger();
			for (const [feature, incarnation] of cleared) {
				fresh.clear(feature, [incarnation]);
			}

			for (const [known, report] of ledger.reports()) {
				fresh.put(known, report);
			}

			blocked += ledger.blocks.length;
			assert.deepEqual(ledger.blocks.map(({features, until}) => ({features, until})), fresh.blocks.map(({features, until}) => ({features, until})), `seed ${seed}`);
			for (let block = 1; block <= 6; block++) {
				assert.deepEqual(new Set(ledger.suspects.get(`block:${block}`)?.keys()), new Set(fresh.suspects.get(`block:${block}`)?.keys()), `seed ${seed}`);
			}
		}
	}

	assert.ok(blocked > 1000, `${blocked} blocks were compared`);
});
