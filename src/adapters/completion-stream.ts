/** Parses the server-sent events of a model engine into engine events. */
import {type Buffer} from 'node:buffer';
import {StringDecoder} from 'node:string_decoder';
import {createParser} from 'eventsource-parser';
import {type EngineEvent} from '../ports/model-engine.js';

const endOfStream = '[DONE]';

type Chunk = {
	choices?: Array<{delta?: {content?: string}; text?: string; finish_reason?: string | null}>;
	token_index?: number;
	token_count?: number;
	usage?: {prompt_tokens: number; completion_tokens: number; prompt_tokens_details?: {cached_tokens?: number}} | null;
	error?: unknown;
};

type TokensEvent = EngineEvent & {kind: 'tokens'};

/** Parses one stream incrementally. The stream is complete only if `isEnded` is true. */
export class CompletionStreamReader {
	isEnded = false;
	#events: EngineEvent[] = [];
	#finishReason = '';
	#usage: Chunk['usage'];
	readonly #decoder = new StringDecoder('utf8');
	readonly #parser = createParser({
		onEvent: event => {
			this.#handleData(event.data);
		},
	});

	/**
	 * Adds received bytes.
	 *
	 * @returns The events that are complete with these bytes.
	 * @throws A `SyntaxError` for a chunk that is not JSON, or an error if the engine reports one in the stream.
	 */
	feed(bytes: Buffer): EngineEvent[] {
		this.#parser.feed(this.#decoder.write(bytes));
		const events = this.#events;
		this.#events = [];
		return events;
	}

	#handleData(data: string): void {
		if (this.isEnded) {
			return;
		}

		if (data === endOfStream) {
			this.isEnded = true;
			this.#events.push(this.#finishedEvent());
			return;
		}

		const chunk = JSON.parse(data) as Chunk;
		if (chunk.error !== undefined) {
			throw new Error('the engine reported an error in its stream');
		}

		const choice = chunk.choices?.[0];
		this.#finishReason = choice?.finish_reason ?? this.#finishReason;
		this.#usage = chunk.usage ?? this.#usage;
		const text = choice?.delta?.content ?? choice?.text ?? '';
		if (text !== '' || chunk.token_index !== undefined) {
			this.#addTokens({
				kind: 'tokens', firstIndex: chunk.token_index ?? 0, count: chunk.token_count ?? 1, text,
			});
		}
	}

	/** Merges consecutive tokens that arrived in the same bytes into one event. This delays none, and a burst costs one write. */
	#addTokens(tokens: TokensEvent): void {
		const last = this.#events.at(-1);
		if (last?.kind === 'tokens' && last.firstIndex + last.count === tokens.firstIndex) {
			last.count += tokens.count;
			last.text += tokens.text;
		} else {
			this.#events.push(tokens);
		}
	}

	#finishedEvent(): EngineEvent {
		return {
			kind: 'finished',
			finishReason: this.#finishReason,
			promptTokens: this.#usage?.prompt_tokens ?? 0,
			cachedTokens: this.#usage?.prompt_tokens_details?.cached_tokens ?? 0,
			completionTokens: this.#usage?.completion_tokens ?? 0,
		};
	}
}
