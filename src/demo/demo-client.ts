/** A caller of the demo: sends prompts and bookings over plain HTTP and measures the time to the first token. */
import {createParser} from 'eventsource-parser';
import {request} from 'undici';

/** The result of one prompt. */
export type PromptResult = {
	text: string;
	/** Absent for an answer that was not streamed. */
	timeToFirstTokenMilliseconds?: number;
	promptTokens: number;
	cachedTokens: number;
	/** The HTTP status; 0 for a stream without its end mark. A refusal also has its reason, and whether the request ran. */
	status: number;
	reason?: string;
	ran?: string;
};

/** The result of one booking. */
export type BookingResult = {
	status: number;
	body: string;
	ran?: string;
};

type Usage = {prompt_tokens: number; prompt_tokens_details?: {cached_tokens?: number}};
type Chunk = {
	choices?: Array<{delta?: {content?: string}; message?: {content: string}}>;
	usage?: Usage;
	error?: {code: string; ran: string};
};

/** One prompt to send. */
export type PromptToSend = {
	entry: string;
	key: string;
	model: string;
	content: string;
	maxTokens: number;
	stream: boolean;
};

/**
 * Sends a prompt.
 *
 * @param prompt - The prompt.
 * @param now - Returns the current time in milliseconds.
 * @returns The text and figures; `status` is 0 for a stream without its end mark.
 */
export async function sendPrompt(prompt: PromptToSend, now: () => number): Promise<PromptResult> {
	const sentAt = now();
	const answer = await request(`http://${prompt.entry}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${prompt.key}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: prompt.model,
			messages: [{role: 'user', content: prompt.content}],
			max_tokens: prompt.maxTokens,
			stream: prompt.stream,
			...(prompt.stream ? {stream_options: {include_usage: true}} : {}),
		}),
	});
	if (answer.statusCode !== 200 || !prompt.stream) {
		const body = await answer.body.json() as Chunk;
		return resultOf(answer.statusCode, body.choices?.[0]?.message?.content ?? '', body);
	}

	let text = '';
	let isWhole = false;
	let firstTokenAt: number | undefined;
	let last: Chunk = {};
	const parser = createParser({
		onEvent({data}) {
			if (data === '[DONE]') {
				isWhole = true;
				return;
			}

			const chunk = JSON.parse(data) as Chunk;
			const content = chunk.choices?.[0]?.delta?.content ?? '';
			firstTokenAt ??= content === '' ? undefined : now();
			text += content;
			last = chunk.usage !== undefined || chunk.error !== undefined ? chunk : last;
		},
	});
	const decoder = new TextDecoder();
	for await (const bytes of answer.body as AsyncIterable<Uint8Array>) {
		parser.feed(decoder.decode(bytes, {stream: true}));
	}

	const result = resultOf(isWhole ? 200 : 0, text, last);
	return firstTokenAt === undefined ? result : {...result, timeToFirstTokenMilliseconds: firstTokenAt - sentAt};
}

function resultOf(status: number, text: string, last: Chunk): PromptResult {
	return {
		status,
		text,
		promptTokens: last.usage?.prompt_tokens ?? 0,
		cachedTokens: last.usage?.prompt_tokens_details?.cached_tokens ?? 0,
		...(last.error ? {reason: last.error.code, ran: last.error.ran} : {}),
	};
}

/**
 * Sends a booking under an idempotency key.
 *
 * @param booking - The entry's address and path, the caller's API key, the booking's name and its idempotency key.
 * @returns The status, the body, and for a refusal whether the booking ran.
 */
export async function sendBooking(booking: {entry: string; key: string; path: string; name: string; idempotencyKey: string}): Promise<BookingResult> {
	const answer = await request(`http://${booking.entry}${booking.path}`, {
		method: 'POST',
		headers: {
			authorization: `Bearer ${booking.key}`, 'content-type': 'application/json', 'idempotency-key': booking.idempotencyKey,
		},
		body: JSON.stringify({booking: booking.name}),
	});
	const body = await answer.body.text();
	const {error} = JSON.parse(body) as Chunk;
	return {status: answer.statusCode, body, ...(error ? {ran: error.ran} : {})};
}
