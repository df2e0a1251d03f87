/**
 * Writes an answer in the published completions protocol, either as server-sent events that end with `[DONE]` or as one
 * JSON body. A stream that cannot be completed ends with an error event and without `[DONE]`, so that a client can tell it
 * from a complete answer.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type Refusal} from '../../shared/types.js';
import {refusalBody, sendRefusal} from '../../serving/send-refusal.js';
import {abortAnswer} from '../../serving/abort-answer.js';
import {type AnswerSink} from './completion-job.js';
import {type CompletionRequest} from './completion-request.js';

/** Placeholder for the text while the template of a streamed event is built; it cannot occur in any member of an event. */
const textPlaceholder = '\u0000text\u0000';

/** Finish reason and token counts of a complete answer. */
export type CompletionUsage = {
	finishReason: string;
	promptTokens: number;
	cachedTokens: number;
	completionTokens: number;
};

/** The members that are the same in all events of one answer. */
export type CompletionIdentity = {
	requestId: string;
	/** Seconds since the epoch, the unit of the protocol's `created`. */
	createdSeconds: number;
};

export class CompletionWriter implements AnswerSink {
	readonly #response: ServerResponse;
	readonly #request: CompletionRequest;
	readonly #head: {id: string; object: string; created: number; model: string};
	/** The text of a streamed event before and after the token; built once, since it is the same for every token. */
	readonly #frame: [before: string, after: string];
	#text = '';

	constructor(response: ServerResponse, request: CompletionRequest, identity: CompletionIdentity) {
		this.#response = response;
		this.#request = request;
		const isChat = request.shape === 'chat';
		this.#head = {
			id: `${isChat ? 'chatcmpl' : 'cmpl'}-${identity.requestId}`,
			object: isChat ? (request.stream ? 'chat.completion.chunk' : 'chat.completion') : 'text_completion',
			created: identity.createdSeconds,
			model: request.model,
		};
		const framed = eventOf({...this.#head, choices: [this.#choice(textPlaceholder, null)]});
		this.#frame = framed.split(JSON.stringify(textPlaceholder)) as [string, string];
	}

	async write(text: string): Promise<void> {
		if (!this.#request.stream) {
			this.#text += text;
			return;
		}

		const [before, after] = this.#frame;
		this.#startStream();
		const hasRoom = this.#response.write(before + JSON.stringify(text) + after);
		if (!hasRoom && !this.#response.destroyed) {
			await Promise.race([once(this.#response, 'drain'), once(this.#response, 'close')]);
		}
	}

	discard(): boolean {
		if (this.#response.headersSent) {
			return false;
		}

		this.#text = '';
		return true;
	}

	disconnect(): void {
		abortAnswer(this.#response);
	}

	/** Ends a complete answer. */
	finish(usage: CompletionUsage): void {
		const protocolUsage = {
			prompt_tokens: usage.promptTokens,
			completion_tokens: usage.completionTokens,
			total_tokens: usage.promptTokens + usage.completionTokens,
			prompt_tokens_details: {cached_tokens: usage.cachedTokens},
		};
		if (this.#request.stream) {
			const last = eventOf({...this.#head, choices: [this.#choice('', usage.finishReason)]});
			const usageEvent = this.#request.includeUsage ? eventOf({...this.#head, choices: [], usage: protocolUsage}) : '';
			this.#startStream();
			this.#response.end(`${last}${usageEvent}data: [DONE]\n\n`);
			return;
		}

		const body = JSON.stringify({...this.#head, choices: [this.#choice(this.#text, usage.finishReason)], usage: protocolUsage});
		this.#response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
		this.#response.end(body);
	}

	/** Ends an answer that cannot be completed. */
	fail(refusal: Refusal): void {
		if (!this.#response.headersSent) {
			sendRefusal(this.#response, refusal);
			return;
		}

		this.#response.end(eventOf(refusalBody(refusal)));
	}

	#startStream(): void {
		if (!this.#response.headersSent) {
			this.#response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache'});
		}
	}

	#choice(text: string, finishReason: string | null): Record<string, unknown> {
		const end = {index: 0, logprobs: null, finish_reason: finishReason};
		if (this.#request.shape === 'text') {
			return {...end, text};
		}

		if (!this.#request.stream) {
			return {...end, message: {role: 'assistant', content: text, refusal: null}};
		}

		return {...end, delta: text === '' ? {} : {role: 'assistant', content: text}};
	}
}

function eventOf(data: unknown): string {
	return `data: ${JSON.stringify(data)}\n\n`;
}
