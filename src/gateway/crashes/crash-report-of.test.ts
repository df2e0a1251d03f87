import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type LostRequest} from './crash-detector.js';
import {crashReport, maxRequestsPerReport} from './crash-report-of.js';
import {encodeReport} from './crash-report-rows.js';
import {type CrashReport} from './crash-reports.js';

/** The platform's rows hold this many bytes. */
const maxRowBytes = 65_536;

function lost(fingerprint: string, facts: Partial<LostRequest> = {}): LostRequest {
	return {
		fingerprint, inFlightMilliseconds: 1, progress: 'unanswered', workspace: 'own', blocks: [], ...facts,
	};
}

function reportOf(requests: LostRequest[], answered: string[] = []): CrashReport {
	return crashReport({
		incarnation: 'a@1', instance: 'e1', at: 5, requests,
	}, feature => answered.includes(feature));
}

test('blocks of prompts that were being answered, or that were answered before, are not reported, but for answers that had just begun', () => {
	const {prompts} = reportOf([
		lost('1', {blocks: ['block:new', 'block:known']}),
		lost('2', {blocks: ['block:other'], progress: 'answering'}),
		lost('3', {blocks: ['block:known', 'block:fresh'], progress: 'begun'}),
	], ['block:known']);
	assert.deepEqual(prompts?.map(({fingerprint, hasBegun, blocks}) => [fingerprint, hasBegun, blocks]), [
		['3', true, ['block:fresh', 'block:known']],
		['1', false, ['block:new']],
	]);
});

test('prompts with invented blocks do not make a report larger than a row', () => {
	const blocks = Array.from({length: 800}, (_, number) => `block:${String(number).padStart(32, 'x')}`);
	const report = reportOf(Array.from({length: 200}, (_, number) => lost(String(number).padStart(16, '0'), {blocks})));
	assert.equal(report.requests.length, maxRequestsPerReport);
	assert.ok(JSON.stringify(encodeReport(report)).length < maxRowBytes / 2);
});
