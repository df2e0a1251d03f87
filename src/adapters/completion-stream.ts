/** Turns the server-sent events of a model engine into engine events. */
import {createParser} from 'eventsource-parser';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type EngineEvent, type EngineFailure} from '../ports/model-engine.js';

const endOfStream = '[DONE]';

type Chunk = {
	choices?: Array<{delta?: {content?: string}; text?: string; finish_reason?: string | null}>;
	token_index?: number;
	token_count?: number;
	usage?: {prompt_tokens: number; completion_tokens: number; prompt_tokens_details?: {cached_tokens?: number}} | null;
	error?: unknown;
};

type TokensEvent = EngineEvent & {kind: 'tokens'};

/** What was read of a stream so far. */
class StreamReader {
	isEnded = false;
	#events: EngineEvent[] = [];
	#finishReason = '';
	#usage: Chunk['usage'];
	readonly #decoder = new TextDecoder();
	readonly #parser = createParser({
		onEvent: event => {
			this.#take(event.data);
		},
	});

	/** Takes bytes as they come; gives the events that they complete. */
	feed(bytes: Uint8Array): EngineEvent[] {
		this.#parser.feed(this.#decoder.decode(bytes, {stream: true}));
		const events = this.#events;
		this.#events = [];
		return events;
	}

	#take(data: string): void {
		if (this.isEnded) {
			return;
		}

		if (data === endOfStream) {
			this.isEnded = true;
			this.#events.push(this.#finished());
			return;
		}

		const chunk = JSON.parse(data) as Chunk;
		if (chunk.error !== undefined) {
			throw new Error('the engine ended its stream with an error');
		}

		const choice = chunk.choices?.[0];
		this.#finishReason = choice?.finish_reason ?? this.#finishReason;
		this.#usage = chunk.usage ?? this.#usage;
		const text = choice?.delta?.content ?? choice?.text ?? '';
		if (text !== '' || chunk.token_index !== undefined) {
			this.#add({
				kind: 'tokens', firstIndex: chunk.token_index ?? 0, count: chunk.token_count ?? 1, text,
			});
		}
	}

	/** Tokens that came together go on together: nothing waits, and a burst costs one write in place of many. */
	#add(tokens: TokensEvent): void {
		const last = this.#events.at(-1);
		if (last?.kind === 'tokens' && last.firstIndex + last.count === tokens.firstIndex) {
			last.count += tokens.count;
			last.text += tokens.text;
		} else {
			this.#events.push(tokens);
		}
	}

	#finished(): EngineEvent {
		return {
			kind: 'finished',
			finishReason: this.#finishReason,
			promptTokens: this.#usage?.prompt_tokens ?? 0,
			cachedTokens: this.#usage?.prompt_tokens_details?.cached_tokens ?? 0,
			completionTokens: this.#usage?.completion_tokens ?? 0,
		};
	}
}

/**
 * Reads a stream. The end of the connection without `[DONE]` is a broken stream: the symptom would be a caller who
 * takes half an answer for a whole one, since both end with a closed connection.
 *
 * @param body - The bytes of the answer.
 * @returns The events; the last is `finished`, or a failure.
 * @throws What the connection throws, and the error of a chunk that is no JSON.
 */
export async function * readCompletionStream(body: AsyncIterable<Uint8Array>): AsyncIterable<Either<EngineFailure, EngineEvent>> {
	const reader = new StreamReader();
	const chunks = body[Symbol.asyncIterator]();
	try {
		for (let next = await chunks.next(); !next.done; next = await chunks.next()) {
			for (const event of reader.feed(next.value)) {
				yield Right(event);
			}

			if (reader.isEnded) {
				break;
			}
		}

		if (!reader.isEnded) {
			yield Left({kind: 'broken', detail: 'the stream ended without its end mark'});
		}
	} finally {
		// Behind the end mark only the end of the HTTP body is missing. Leaving it unread would cost the connection to
		// the engine with every answer; a stream that was left before its end mark is closed, which cancels it.
		void leave(chunks, reader.isEnded);
	}
}

async function leave(chunks: AsyncIterator<Uint8Array>, isEnded: boolean): Promise<void> {
	try {
		await (isEnded ? chunks.next() : chunks.return?.());
	} catch {
		// The connection broke behind the end mark, or while it was being closed; the answer is judged already.
	}
}
