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

function reportOf(requests: LostRequest[], answered: string[] = [], suspected: string[] = []): CrashReport {
	return crashReport({
		incarnation: 'a@1', instance: 'e1', at: 5, requests,
	}, feature => answered.includes(feature), feature => suspected.includes(feature));
}

test('blocks that were answered before are not reported, but for answers that had just begun, and those of answers in flight come last', () => {
	const {prompts} = reportOf([
		lost('1', {blocks: ['block:new', 'block:known']}),
		lost('2', {blocks: ['block:other', 'block:known'], progress: 'answering'}),
		lost('3', {blocks: ['block:known', 'block:fresh'], progress: 'begun'}),
	], ['block:known']);
	assert.deepEqual(prompts?.map(({fingerprint, hasBegun, isAnswering, blocks}) => [fingerprint, hasBegun, isAnswering, blocks]), [
		['3', true, undefined, ['block:fresh', 'block:known']],
		['1', false, undefined, ['block:new']],
		['2', false, true, ['block:other']],
	]);
});

test('answers in flight do not push blocks of answers that had just begun out of a report', () => {
	const blocks = Array.from({length: 40}, (_, number) => `block:${number}`);
	const answering = Array.from({length: maxRequestsPerReport - 1}, (_, number) => lost(`a${number}`, {progress: 'answering', blocks}));
	const {prompts} = reportOf([...answering, lost('begun', {progress: 'begun', inFlightMilliseconds: 0.5, blocks})]);
	assert.deepEqual(prompts?.[0], {
		fingerprint: 'begun', workspace: 'own', hasBegun: true, blocks,
	});
});

test('a block that was at other crashes is reported although each of many answers in flight has more blocks than a report can hold', () => {
	const blocks = (number: number): string[] => Array.from({length: 100}, (_, index) => `block:${number}-${index}`);
	const answering = Array.from({length: maxRequestsPerReport}, (_, number) => lost(`a${number}`, {progress: 'answering', blocks: [...blocks(number), 'block:bad']}));
	const {prompts} = reportOf(answering, [], ['block:bad']);
	assert.equal(prompts?.filter(({blocks: kept}) => kept.includes('block:bad')).length, maxRequestsPerReport);
});

test('prompts with invented blocks do not make a report larger than a row', () => {
	const blocks = Array.from({length: 800}, (_, number) => `block:${String(number).padStart(32, 'x')}`);
	const report = reportOf(Array.from({length: 200}, (_, number) => lost(String(number).padStart(16, '0'), {blocks})));
	assert.equal(report.requests.length, maxRequestsPerReport);
	assert.ok(JSON.stringify(encodeReport(report)).length < maxRowBytes / 2);
});
