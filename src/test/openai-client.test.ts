/** The unmodified client library of the published protocol, used with an entry of a small deployment of processes. */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import OpenAI from 'openai';
import {demoDeclarationPath, permitsModelService} from '../demo/demo-declaration.js';
import {Deployment} from '../demo/deployment.js';
import {engineAnswerTo} from '../stand-in/engine-token-at.js';

const content = 'Which pitches are free on the quay tonight?';
const tokens = 24;
const chatText = engineAnswerTo(`user: ${content}`, tokens);
const deployment = new Deployment({
	dataCentres: ['split-riva'],
	entriesPerDataCentre: 1,
	enginesPerDataCentre: 1,
	modelServices: [permitsModelService],
	plainService: 'bookings',
});

function clientOf(apiKey: string): OpenAI {
	const [entry] = deployment.withRole('entry');
	return new OpenAI({apiKey, baseURL: `http://${entry!.listed.address}/v1`, maxRetries: 0});
}

const chat = {model: 'permit-1', messages: [{role: 'user' as const, content}], max_tokens: tokens};

before(async () => {
	await deployment.start();
	await deployment.apply(demoDeclarationPath, 'for the client library', () => {
		// The printed edits do not matter to these tests.
	});
});

after(async () => deployment.stop());

test('the client library lists the models of its workspace only', async () => {
	const models = await clientOf('quay-demo-key').models.list();
	assert.deepEqual(models.data.map(({id}) => id), ['permit-1']);
});

test('a chat answer has the same text with and without streaming', async () => {
	const client = clientOf('quay-demo-key');
	const whole = await client.chat.completions.create(chat);
	assert.equal(whole.choices[0]!.message.content, chatText);
	assert.equal(whole.choices[0]!.finish_reason, 'length');
	assert.equal(whole.usage!.completion_tokens, tokens);
	const stream = await client.chat.completions.create({...chat, stream: true, stream_options: {include_usage: true}});
	let text = '';
	let completionTokens = 0;
	for await (const chunk of stream) {
		text += chunk.choices[0]?.delta.content ?? '';
		completionTokens = chunk.usage?.completion_tokens ?? completionTokens;
	}

	assert.equal(text, chatText);
	assert.equal(completionTokens, tokens);
});

test('a text answer is the same with and without streaming', async () => {
	const client = clientOf('quay-demo-key');
	const prompt = {model: 'permit-1', prompt: content, max_tokens: tokens};
	const whole = await client.completions.create(prompt);
	assert.equal(whole.choices[0]!.text, engineAnswerTo(content, tokens));
	let text = '';
	for await (const chunk of await client.completions.create({...prompt, stream: true})) {
		text += chunk.choices[0]?.text ?? '';
	}

	assert.equal(text, whole.choices[0]!.text);
});

test('the client library maps refusals to its own typed errors', async () => {
	await assert.rejects(clientOf('no-such-key').models.list(), (error: unknown) => {
		assert.ok(error instanceof OpenAI.AuthenticationError);
		assert.equal(error.code, 'unauthorized');
		return true;
	});
	await assert.rejects(clientOf('quay-demo-key').chat.completions.create({...chat, model: 'lesson-1'}), (error: unknown) => {
		assert.ok(error instanceof OpenAI.NotFoundError);
		assert.equal(error.code, 'not-found');
		return true;
	});
	await assert.rejects(clientOf('quay-demo-key').chat.completions.create({...chat, messages: []}), (error: unknown) => {
		assert.ok(error instanceof OpenAI.BadRequestError);
		assert.equal(error.code, 'bad-request');
		return true;
	});
});

test('a temporary refusal carries the retry delay where the client library expects it', async () => {
	// The caller gets 503 with Retry-After. The declared service of this model has no live endpoint here, so "not-run" is
	// true. A client that retries automatically waits for the given time.
	await assert.rejects(clientOf('parish-demo-key').chat.completions.create({...chat, model: 'lesson-1'}), (error: unknown) => {
		assert.ok(error instanceof OpenAI.InternalServerError);
		assert.equal(error.status, 503);
		assert.equal(error.code, 'no-endpoint');
		assert.equal((error.error as {ran: string}).ran, 'not-run');
		assert.ok(Number(error.headers.get('retry-after')) > 0);
		return true;
	});
});
