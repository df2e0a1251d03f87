import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';
import {emptyConfiguration} from '../protocol/configuration/configuration-state.js';
import {completeLine} from './complete-line.js';
import {checkRead, evaluateRead} from './evaluate-read.js';
import {parseStatement} from './parse-statement.js';
import {planCommand} from './plan-command.js';
import {type CommandStatement, type ReadStatement, type Row} from './statement.js';

const rows: Row[] = [
	{
		name: 'riva-2', service: 'permits', state: 'live', running: 12, drained: false,
	},
	{
		name: 'riva-1', service: 'permits', state: 'leaving', running: 3, drained: true,
	},
	{
		name: 'luka-1', service: 'lessons', state: 'live', running: 3, drained: false,
	},
];

function namesOf(text: string): unknown[] {
	const statement = parseStatement(text).unsafeCoerce() as ReadStatement;
	return evaluateRead(checkRead(statement).unsafeCoerce(), rows).rows.map(({name}) => name);
}

test('the committed parser matches the grammar', () => {
	execFileSync(process.execPath, ['scripts/generate-language.mjs', '--check'], {stdio: 'pipe'});
});

test('where, order by and limit select and sort rows; numbers compare as numbers', () => {
	assert.deepEqual(namesOf('endpoints where running > 9'), ['riva-2']);
	assert.deepEqual(namesOf('show endpoints where not (service = permits or state = leaving)'), ['luka-1']);
	assert.deepEqual(namesOf('ENDPOINTS order by running desc, name limit 2'), ['riva-2', 'luka-1']);
	assert.deepEqual(namesOf('endpoints where drained = true and name contains "RIVA"'), ['riva-1']);
});

const wrongLines: ReadonlyArray<[string, number, RegExp]> = [
	['', 1, /a source.*but found the end/v],
	['endpoint', 1, /a source/v],
	['endpoints were state = live', 11, /"limit", "order", "where".*but found "were"/v],
	['endpoints where stat = live', 17, /no field "stat"; expected name, kind/v],
	['endpoints where state live', 23, /a comparison.*but found "live"/v],
	['endpoints limit x', 17, /a whole number/v],
	['drain riva-1', 13, /"because".*but found the end/v],
	['drain riva-1 because ""', 22, /a reason in quotes/v],
];
for (const [line, column, message] of wrongLines) {
	test(`the error of "${line}" points at column ${column}`, () => {
		const error = parseStatement(line).chain(statement => checkRead(statement as ReadStatement)).swap().unsafeCoerce();
		assert.equal(error.column, column, error.message);
		assert.match(error.message, message);
	});
}

test('a command on an unknown name is rejected at the column of that name, with the known names', () => {
	const plan = (text: string) => planCommand(parseStatement(text).unsafeCoerce() as CommandStatement, {state: emptyConfiguration, endpoints: ['riva-1']});
	assert.deepEqual(plan('drain riva-9 because "fan"').swap().unsafeCoerce(), {column: 7, message: 'there is no endpoint "riva-9"; expected riva-1'});
	assert.deepEqual(plan('drain riva-1 because "fan"').unsafeCoerce(), {
		kind: 'change', plannedAgainst: 0, edits: [{action: 'set', kind: 'drain', item: {name: 'riva-1', reason: 'fan'}}],
	});
});

test('completion offers the words that are valid at that place', () => {
	assert.deepEqual(completeLine('en'), [['endpoints'], 'en']);
	assert.deepEqual(completeLine('endpoints where ru'), [['running'], 'ru']);
	assert.deepEqual(completeLine('drain riva-1 be'), [['because'], 'be']);
});
