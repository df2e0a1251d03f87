import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {type Either} from 'purify-ts/Either';
import {checkDeclaration} from '../declaration/check-declaration.js';
import {checkProposal} from '../declaration/check-proposal.js';
import {entrySettingDefinitions} from '../entry/entry-settings.js';
import {fieldsOfSource} from '../language/sources.js';
import {checkRead} from '../language/evaluate-read.js';
import {parseStatement} from '../language/parse-statement.js';
import {encodeFrame, FrameReader} from '../peer/framing/frame-codec.js';
import {checkSettings} from '../settings/read-settings.js';
import {variableNameOf} from '../settings/variable-name-of.js';
import {type Finding} from '../shared/types.js';
import {parseTimelineMessage} from '../timeline/timeline-messages.js';

const seed = 20_261_202;
const maxMilliseconds = 2000;
/** At least this many inputs of each kind must be refused; inputs that happen to be valid do not count. */
const minRefused = 400;

/** Generates inputs and counts the refused ones. Every refusal is checked, and every input must be validated in time. */
function refuseAll<Input, Refusal>(inputs: fastCheck.Arbitrary<Input>, validate: (input: Input) => Either<Refusal, unknown>, checkRefusal: (refusal: Refusal) => void): number {
	let refused = 0;
	fastCheck.assert(fastCheck.property(inputs, input => {
		const startedAt = performance.now();
		validate(input).ifLeft(refusal => {
			refused++;
			checkRefusal(refusal);
		});
		const took = performance.now() - startedAt;
		assert.ok(took < maxMilliseconds, `validated in ${took} ms`);
	}), {seed, numRuns: minRefused * 2});
	assert.ok(refused >= minRefused, `${refused} refused`);
	return refused;
}

/** Replaces a part of a text by another text. */
function mutationsOf(texts: readonly string[], inserts: fastCheck.Arbitrary<string>): fastCheck.Arbitrary<string> {
	return fastCheck.tuple(fastCheck.constantFrom(...texts), fastCheck.double({min: 0, max: 1, noNaN: true}), fastCheck.nat({max: 40}), inserts)
		.map(([text, share, cut, insert]) => {
			const at = Math.floor(text.length * share);
			return text.slice(0, at) + insert + text.slice(at + cut);
		});
}

function checkFindings(findings: readonly Finding[]): void {
	assert.ok(findings.length > 0);
	for (const {place, message} of findings) {
		assert.notEqual(message, '');
		assert.ok(place.source === 'file' ? place.line >= 1 && place.column >= 1 : place.name !== '');
	}
}

test('malformed settings are refused with findings', t => {
	const flags = Object.values(entrySettingDefinitions).map(({flag}) => flag);
	const values = fastCheck.oneof(fastCheck.string(), fastCheck.string({unit: 'binary'}), fastCheck.constantFrom('', ' ', '127.0.0.1', ':1', '127.0.0.1:65536', '[::1]:x', '-1', '1e9', 'NaN', '\0'));
	const given = fastCheck.record({
		flags: fastCheck.dictionary(fastCheck.constantFrom(...flags), fastCheck.oneof(values, fastCheck.constant(true as const))),
		environment: fastCheck.dictionary(fastCheck.constantFrom(...flags.map(flag => variableNameOf(flag))), values),
	});
	const refused = refuseAll(given, input => checkSettings(entrySettingDefinitions, input), checkFindings);
	t.diagnostic(`${refused} refused`);
});

test('malformed declarations are refused with findings that have file, line and column', t => {
	const valid = ['split', 'lindqvist', 'demo'].map(name => readFileSync(`examples/${name}.yaml`, 'utf8'));
	const fragments = fastCheck.oneof(
		fastCheck.string({maxLength: 30}),
		fastCheck.constantFrom('{', '[', ']', '}', ': ', '- '),
		fastCheck.constantFrom('&a [*a, *a]', '*b', '!!binary x', '---\n', '\t', 'share: -1\n', '? ', '"', '\'', '|', '<<: *a', '__proto__: 1', '\u0000', 'name: name: x'),
	);
	const files = fastCheck.oneof(
		mutationsOf(valid, fragments),
		fastCheck.string({unit: 'binary'}),
		fastCheck.json(),
		fastCheck.record({
			workspaces: fastCheck.jsonValue(), services: fastCheck.jsonValue(), rules: fastCheck.jsonValue(), limits: fastCheck.jsonValue(),
		}).map(value => JSON.stringify(value)),
		fastCheck.nat({max: 8}).map(depth => `a: &a [x]\n${Array.from({length: depth + 4}, (_, index) => `b${index}: &b${index} [${'*a, '.repeat(30)}*a]`).join('\n')}`),
	);
	const refused = refuseAll(files, text => checkDeclaration([{file: 'a.yaml', text}]), checkFindings);
	t.diagnostic(`${refused} refused`);
});

test('malformed statements are refused with a column and what was expected', t => {
	const valid = [
		'endpoints where state != live and (running > 3 or name contains "riva") order by running desc, name limit 5',
		'move permit-1 to w2 because "new weights"',
		'drain riva-engine-1 because "fan"',
	];
	const words = [
		...Object.keys(fieldsOfSource), 'show', 'where', 'and', 'or', 'not', '(', ')', '=', '<', 'order by', 'limit', 'because', '"x', '"', '\\', ',', 'state', '7', '\n', 'drain', 'to',
	];
	const lines = fastCheck.oneof(
		mutationsOf(valid, fastCheck.string({maxLength: 8})),
		fastCheck.array(fastCheck.constantFrom(...words), {maxLength: 30}).map(list => list.join(' ')),
		fastCheck.string({unit: 'binary', maxLength: 200}),
		fastCheck.nat({max: 3000}).map(depth => `endpoints where ${'('.repeat(depth)}name = x`),
		fastCheck.nat({max: 400}).map(depth => `endpoints where ${'not '.repeat(depth)}(`),
	);
	const refused = refuseAll(lines, text => parseStatement(text).chain(statement => statement.kind === 'read' ? checkRead(statement) : parseStatement(text)), ({column, message}) => {
		assert.ok(column >= 1, message);
		assert.match(message, /expected|at most|nested/v);
	});
	t.diagnostic(`${refused} refused`);
});

test('malformed proposals are refused with findings', t => {
	const edits = fastCheck.array(fastCheck.oneof(
		fastCheck.jsonValue(),
		fastCheck.record({action: fastCheck.constantFrom('set', 'remove', 'x'), kind: fastCheck.constantFrom('workspace', 'drain', 'rule', 'y'), item: fastCheck.jsonValue()}),
	));
	const proposals = fastCheck.oneof(fastCheck.jsonValue(), fastCheck.record({
		plannedAgainst: fastCheck.jsonValue(), edits, author: fastCheck.string(), reason: fastCheck.string(),
	}));
	const refused = refuseAll(proposals, checkProposal, findings => {
		assert.ok(findings.length > 0 && findings.every(({path, message}) => path !== '' && message !== ''));
	});
	t.diagnostic(`${refused} refused`);
});

test('invalid bytes and values never make the parser of timeline messages throw', () => {
	const bytes = fastCheck.oneof(
		fastCheck.uint8Array({maxLength: 200}).map(array => Buffer.from(array)),
		fastCheck.jsonValue().map(value => encodeFrame(value)),
		fastCheck.record({events: fastCheck.array(fastCheck.jsonValue()), dropped: fastCheck.jsonValue()}).map(value => encodeFrame(value)),
	);
	fastCheck.assert(fastCheck.property(bytes, input => {
		new FrameReader().read(input).ifRight(values => {
			for (const value of values) {
				const message = parseTimelineMessage(value);
				assert.ok(message === undefined || message.kind === 'batch' || message.kind === 'query');
			}
		});
	}), {seed, numRuns: minRefused});
});
