/**
 * Writes an answer in the published completions protocol: as server-sent events closed by `[DONE]`, or whole. A stream
 * that cannot be finished ends with an error event and without `[DONE]`, so that no client takes it for whole.
 */
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type Refusal} from '../../shared/types.js';
import {type CompletionRequest} from './completion-request.js';
import {refusalBody, sendRefusal} from './send-refusal.js';

/** The figures of a finished answer. */
export type CompletionUsage = {
	finishReason: string;
	promptTokens: number;
	cachedTokens: number;
	completionTokens: number;
};

/** What does not change over one answer. */
export type CompletionIdentity = {
	requestId: string;
	/** Seconds since the epoch, as the protocol has it. */
	createdSeconds: number;
};

export class CompletionWriter {
	readonly #response: ServerResponse;
	readonly #request: CompletionRequest;
	readonly #head: {id: string; object: string; created: number; model: string};
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
	}

	/** Passes text on. Resolves when the caller can take more. */
	async pass(text: string): Promise<void> {
		if (!this.#request.stream) {
			this.#text += text;
			return;
		}

		await this.#writeEvent({...this.#head, choices: [this.#choice(text, null)]});
	}

	/** Closes a whole answer. */
	finish(usage: CompletionUsage): void {
		const protocolUsage = {
			prompt_tokens: usage.promptTokens,
			completion_tokens: usage.completionTokens,
			total_tokens: usage.promptTokens + usage.completionTokens,
			prompt_tokens_details: {cached_tokens: usage.cachedTokens},
		};
		if (this.#request.stream) {
			void this.#writeEvent({...this.#head, choices: [this.#choice('', usage.finishReason)]});
			if (this.#request.includeUsage) {
				void this.#writeEvent({...this.#head, choices: [], usage: protocolUsage});
			}

			this.#response.end('data: [DONE]\n\n');
			return;
		}

		this.#response.writeHead(200, {'content-type': 'application/json'});
		this.#response.end(JSON.stringify({...this.#head, choices: [this.#choice(this.#text, usage.finishReason)], usage: protocolUsage}));
	}

	/** Ends an answer that will not become whole. */
	fail(refusal: Refusal): void {
		if (!this.#response.headersSent) {
			sendRefusal(this.#response, refusal);
			return;
		}

		this.#response.end(`data: ${JSON.stringify(refusalBody(refusal))}\n\n`);
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

	async #writeEvent(event: unknown): Promise<void> {
		if (!this.#response.headersSent) {
			this.#response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache'});
		}

		const hasRoom = this.#response.write(`data: ${JSON.stringify(event)}\n\n`);
		if (!hasRoom && !this.#response.destroyed) {
			await Promise.race([once(this.#response, 'drain'), once(this.#response, 'close')]);
		}
	}
}
