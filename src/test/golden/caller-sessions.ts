/** Golden sessions of callers: prompts and bookings, with and without faults. */
import {
	get, booking, type GoldenSession, prompt,
} from './golden-session.js';

/** The steps of a session. */
export type SessionScript = (session: GoldenSession) => Promise<void>;

const [firstEngine, secondEngine] = ['riva-engine-1', 'riva-engine-2'] as const;
const streamed = {stream: true, stream_options: {include_usage: true}};

async function plainPrompt(session: GoldenSession): Promise<void> {
	session.comment('A performer asks from the quay, and wants the answer in one piece.');
	await session.sendAsCaller('performer', prompt('Is pitch 4 free?'));
	session.comment('The same question, streamed. The text is the same, and the end mark says that it is whole.');
	await session.sendAsCaller('performer', prompt('Is pitch 4 free?', streamed));
	session.comment('The models of the workspace.');
	await session.sendAsCaller('performer', get('/v1/models'));
}

async function returningPrompt(session: GoldenSession): Promise<void> {
	const rulebook = 'Rule: no amplified music after ten. '.repeat(4);
	session.comment('A council checks a rulebook for the first time: every prompt token is computed.');
	await session.sendAsCaller('council', prompt(rulebook));
	session.comment('Hours later the same rulebook comes back. The engine still had its prefix: prompt_tokens_details says so.');
	session.entry.clock.advance(4 * 3_600_000);
	session.entry.reportEngines();
	await session.sendAsCaller('council', prompt(rulebook));
}

async function bookingWithRepeats(session: GoldenSession): Promise<void> {
	session.comment('A musician books a pitch under a key.');
	await session.sendAsCaller('musician', booking('pitch-4', 'key-1'));
	session.comment('The musician taps again: the same key and body get the first answer; "run" stays 1.');
	await session.sendAsCaller('musician', booking('pitch-4', 'key-1'));
	session.comment('Another booking under another key runs.');
	await session.sendAsCaller('musician', booking('pitch-5', 'key-2'));
	session.comment(`The booking service has run ${session.entry.plain.calls.length} calls.`);
}

async function keyReused(session: GoldenSession): Promise<void> {
	session.comment('A musician books a pitch under a key.');
	await session.sendAsCaller('musician', booking('pitch-4', 'key-1'));
	session.comment('The same key with another body cannot mean the same booking. It is refused, and nothing runs.');
	await session.sendAsCaller('musician', booking('pitch-9', 'key-1'));
	session.comment(`The booking service has run ${session.entry.plain.calls.length} call.`);
}

async function lostAnswer(session: GoldenSession): Promise<void> {
	session.comment('The booking service books the pitch, and its answer is lost. Nobody can know, so the word is "unknown".');
	session.entry.plain.loseAnswers = 1;
	await session.sendAsCaller('musician', booking('pitch-4', 'key-1'));
	session.comment('The musician asks where it was told to ask.');
	await session.sendAsCaller('musician', get('/v1/calls/bookings/key-1'));
	session.comment('A repeat of the key is not sent again.');
	await session.sendAsCaller('musician', booking('pitch-4', 'key-1'));
	session.comment(`The booking service has run ${session.entry.plain.calls.length} call.`);
}

async function platformDown(session: GoldenSession): Promise<void> {
	session.comment('The table service is down. A booking cannot be claimed: it is refused at once, and "not-run" is true.');
	session.entry.table.down = true;
	await session.sendAsCaller('musician', booking('pitch-4', 'key-1'));
	session.comment('Prompts go on.');
	await session.sendAsCaller('performer', prompt('Is pitch 4 free?'));
	session.comment('Two seconds later, as it was told, the musician tries again. The table service is back, and the same key books the pitch.');
	session.entry.table.down = false;
	session.entry.clock.advance(2000);
	await session.sendAsCaller('musician', booking('pitch-4', 'key-1'));
	session.comment(`The booking service has run ${session.entry.plain.calls.length} call.`);
}

async function drainInMidStream(session: GoldenSession): Promise<void> {
	const {entry} = session;
	session.comment('A performer reads a stream. Behind its second token the entry is told to stop.');
	entry.engine.failNext(firstEngine, {kind: 'pause', afterTokens: 2});
	const stream = await session.open('performer', prompt('Is pitch 4 free?', streamed));
	await entry.engine.halted();
	entry.context.draining = true;
	session.comment('The balancer sees it leave; a request that still comes here is refused and has not run.');
	await session.sendAsCaller('balancer', {method: 'GET', path: '/readyz'});
	await session.sendAsCaller('inspector', prompt('Who holds pitch 4?'));
	session.comment('The stream goes on to its end mark, and then the entry stops.');
	const drained = entry.callers.drain();
	entry.engine.resume();
	await session.finish(stream);
	await drained;
}

async function weightSwapInMidStream(session: GoldenSession): Promise<void> {
	const {entry} = session;
	session.comment('A performer reads a stream of weight version w1 when both engines swap to w2. The run under way keeps its own.');
	entry.engine.failNext(firstEngine, {kind: 'pause', afterTokens: 2});
	const stream = await session.open('performer', prompt('Is pitch 4 free?', streamed));
	await entry.engine.halted();
	entry.engine.weightVersions.set(firstEngine, 'w2').set(secondEngine, 'w2');
	session.comment('A new prompt, routed by a report from before the swap, is told by the engine and runs under w2.');
	await session.sendAsCaller('inspector', prompt('Is pitch 4 free?'));
	entry.engine.resume();
	await session.finish(stream);
	session.comment('Another stream begins under w2; then both engines go back to w1, and its endpoint dies.');
	session.comment('It is not finished under other weights: a typed error ends it, and there is no end mark.');
	entry.engine.failNext(firstEngine, {kind: 'pause', afterTokens: 2});
	entry.engine.failNext(secondEngine, {kind: 'pause', afterTokens: 2});
	entry.reportEngines();
	const second = await session.open('performer', prompt('Is pitch 5 free?', streamed));
	await entry.engine.halted();
	entry.engine.weightVersions.set(firstEngine, 'w1').set(secondEngine, 'w1');
	entry.reportEngines();
	entry.engine.cutFirstHalted();
	await session.finish(second);
}

async function endpointDies(session: GoldenSession): Promise<void> {
	session.comment('The first engine dies behind the second token. The stream goes on at the other one with the third: the text is the same as in any other run.');
	session.entry.engine.failNext(firstEngine, {kind: 'cut', afterTokens: 2});
	await session.sendAsCaller('performer', prompt('Is pitch 4 free?', streamed));
	const {calls} = session.entry.engine;
	session.comment(`The engines were asked: ${calls.map(({address, call}) => `${address}, attempt ${call.attempt}, behind token ${call.tokensPassedOn}`).join('; ')}.`);
	session.comment('Both engines die in mid-stream. The answer ends with a typed error and without the end mark.');
	session.entry.engine.failNext(firstEngine, {kind: 'cut', afterTokens: 1});
	session.entry.engine.failNext(secondEngine, {kind: 'cut', afterTokens: 3});
	await session.sendAsCaller('performer', prompt('Is pitch 5 free?', streamed));
}

async function withoutKey(session: GoldenSession): Promise<void> {
	session.comment('A caller without a key, and one with a key that nobody declared.');
	await session.sendAsCaller('stranger', {...get('/v1/models'), headers: {}});
	await session.sendAsCaller('stranger', {...prompt('Is pitch 4 free?'), headers: {authorization: 'Bearer guessed'}});
	session.comment('A model of another workspace does not exist for this one.');
	await session.sendAsCaller('performer', prompt('Draft a lesson', {model: 'lesson-1'}));
}

async function overload(session: GoldenSession): Promise<void> {
	const {entry} = session;
	const full = (retryAfterMilliseconds: number) => ({
		kind: 'fail' as const, failure: {
			kind: 'refused' as const, status: 429, detail: '', retryAfterMilliseconds,
		},
	});
	session.comment('Both engines are full and say for how long. The caller is told the shorter time, and nothing ran.');
	entry.engine.failNext(firstEngine, full(7000));
	entry.engine.failNext(secondEngine, full(3000));
	await session.sendAsCaller('performer', prompt('Is pitch 4 free?'));
	session.comment('Three seconds later the second engine is asked again.');
	entry.clock.advance(3000);
	entry.reportEngines();
	await session.sendAsCaller('performer', prompt('Is pitch 4 free?'));
	session.comment('The workspace may have one request open. A second one is refused while the first is read.');
	entry.configure([{action: 'set', kind: 'limit', item: {name: 'open-requests-per-workspace', value: 1}}]);
	entry.engine.failNext(secondEngine, {kind: 'pause', afterTokens: 1});
	const stream = await session.open('performer', prompt('Is pitch 5 free?', streamed));
	await entry.engine.halted();
	await session.sendAsCaller('inspector', prompt('Who holds pitch 4?'));
	entry.engine.resume();
	await session.finish(stream);
}

async function brokenRequests(session: GoldenSession): Promise<void> {
	session.comment('A body that is no JSON, a prompt without messages, a path that is not there, a method that the path does not take.');
	await session.sendAsCaller('client', {...prompt(''), body: '{"model":'});
	await session.sendAsCaller('client', prompt('', {messages: []}));
	await session.sendAsCaller('client', get('/v1/embeddings'));
	await session.sendAsCaller('client', get('/v1/chat/completions'));
	session.comment('Bytes that are no HTTP.');
	await session.sendBytes('client', 'BOOK pitch-4 PLEASE\r\n\r\n');
	session.comment('A body over the declared limit is refused by its length, before it is sent.');
	session.entry.configure([{action: 'set', kind: 'limit', item: {name: 'body-bytes', value: 100}}]);
	await session.sendBytes('client', [
		'POST /v1/completions HTTP/1.1', 'host: savorygauge', 'authorization: Bearer key-of-the-quay', 'content-length: 5000', 'expect: 100-continue', '', '',
	].join('\r\n'));
}

/** All sessions of callers, by the names of their files. */
export const callerSessions: ReadonlyMap<string, {title: string; script: SessionScript}> = new Map([
	['plain-prompt', {title: 'A plain prompt, whole and streamed', script: plainPrompt}],
	['returning-prompt', {title: 'A prompt that returns after hours', script: returningPrompt}],
	['booking-with-repeats', {title: 'A booking with repeats', script: bookingWithRepeats}],
	['key-reused', {title: 'A key reused with another body', script: keyReused}],
	['lost-answer', {title: 'A lost answer after a booking', script: lostAnswer}],
	['platform-down', {title: 'The platform is down', script: platformDown}],
	['drain-in-mid-stream', {title: 'A drain in mid-stream', script: drainInMidStream}],
	['weight-swap-in-mid-stream', {title: 'A weight swap in mid-stream', script: weightSwapInMidStream}],
	['endpoint-dies-in-mid-stream', {title: 'An endpoint dies in mid-stream', script: endpointDies}],
	['without-key', {title: 'A caller without a key', script: withoutKey}],
	['overload', {title: 'More work than there is room for', script: overload}],
	['broken-requests', {title: 'Requests that cannot be understood', script: brokenRequests}],
]);
