import assert from 'node:assert/strict';
import {type IncomingMessage} from 'node:http';
import {test} from 'node:test';
import {withoutHopByHop} from './hop-by-hop.js';
import {readRequestHead} from './request-head.js';
import {ownWireNames as names} from './wire-names.js';

function requestWith(headers: Record<string, string>): IncomingMessage {
	const rawHeaders = Object.entries(headers).flat();
	return {
		method: 'POST', url: '//a/../b', headers, rawHeaders,
	} as unknown as IncomingMessage;
}

test('a prompt is decoded into its blocks', () => {
	const head = readRequestHead(requestWith({
		host: 'quay.example', [names.model]: 'permit', [names.tokenCount]: '1460,80', [names.promptParts]: '5c:800,91:410,e4:250', [names.deadline]: '1500',
	}), names);
	assert.equal(head.target, '//a/../b');
	assert.equal(head.deadlineMilliseconds, 1500);
	assert.deepEqual(head.prompt, {
		model: 'permit', promptTokens: 1460, maxOutputTokens: 80, blocks: [{id: '5c', tokens: 800}, {id: '91', tokens: 410}, {id: 'e4', tokens: 250}],
	});
});

test('values that cannot be parsed count as absent', () => {
	const head = readRequestHead(requestWith({[names.model]: 'permit', [names.tokenCount]: 'many', [names.deadline]: 'soon'}), names);
	assert.equal(head.prompt, undefined);
	assert.equal(head.deadlineMilliseconds, undefined);
});

test('the attempt that a caller names is taken only if it is short and visible ASCII', () => {
	const resumesOf = (value: string): string | undefined => readRequestHead(requestWith({[names.resumes]: value}), names).resumes;
	assert.equal(resumesOf('9c41d07be2a35f68'), '9c41d07be2a35f68');
	assert.deepEqual(['', 'a b', 'a, b', 'caf\u{E9}', 'a\u0000', 'a'.repeat(129)].map(value => resumesOf(value)), Array.from({length: 6}, () => undefined));
});

test('hop-by-hop headers are dropped; duplicates and case are preserved', () => {
	const raw = ['Host', 'a', 'X-One', '1', 'x-one', '2', 'Connection', 'x-private', 'X-Private', 'p', 'Transfer-Encoding', 'chunked'];
	assert.deepEqual(withoutHopByHop(raw, 'x-private'), ['Host', 'a', 'X-One', '1', 'x-one', '2']);
	assert.deepEqual(withoutHopByHop(['Host', 'a', 'X-Salt', 's'], undefined, new Set(['x-salt'])), ['Host', 'a']);
});
