/**
 * Sends a request and collects the body of its answer.
 *
 * undici's `request` builds a stream for each answer, with an abort signal, several immediates and a turn of the event loop
 * between the last byte and the result. A body that is read as a whole needs none of them: its pieces are collected as the
 * parser passes them on. Small pieces are copied into blocks, since each takes some hundred bytes beside its content.
 */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {BodyPieces} from '../serving/body-pieces.js';
import {type Collecting, CollectionBudget} from './collection-budget.js';
import {startTimeout} from './time-limit.js';

/** An answer whose body was received to its end, as text in UTF-8. */
export type CollectedAnswer = {
	statusCode: number;
	headers: Dispatcher.ResponseData['headers'];
	text: string;
};

/** All answers that are collected at a time; a page of rows has some 2 MB, and a list of blocks less. */
const maxCollectedBytes = 16_777_216;
const budget = new CollectionBudget(maxCollectedBytes);

/** Ignores a byte order mark, which `JSON.parse` rejects. */
const decoder = new TextDecoder();

/**
 * Sends a request and collects the body of its answer. The pool limits the size of the body.
 *
 * @param pool - The connection pool.
 * @param request - The request. undici's own timeouts are replaced by the time limit.
 * @param timeoutMilliseconds - Limits the whole exchange. A connection that is being opened is not aborted, so that a failure
 *   to connect is reported as such: only then is it certain that no byte was sent.
 * @throws If the connection fails or ends early, if the body is too large, also together with others, or if the time is up
 *   (`TimeoutError`).
 */
export async function collectAnswer(pool: Dispatcher, request: Dispatcher.RequestOptions, timeoutMilliseconds: number): Promise<CollectedAnswer> {
	return new Promise((resolve, reject) => {
		const collector = new AnswerCollector(timeoutMilliseconds, resolve, reject);
		pool.dispatch({...request, headersTimeout: 0, bodyTimeout: 0}, collector);
	});
}

class AnswerCollector implements Dispatcher.DispatchHandler, Collecting {
	readonly #resolve: (answer: CollectedAnswer) => void;
	readonly #reject: (error: Error) => void;
	readonly #timer: NodeJS.Timeout;
	#controller: Dispatcher.DispatchController | undefined;
	#timeoutError: DOMException | undefined;
	#statusCode = 0;
	#headers: CollectedAnswer['headers'] = {};
	#pieces = new BodyPieces();
	#dropError: Error | undefined;

	constructor(timeoutMilliseconds: number, resolve: (answer: CollectedAnswer) => void, reject: (error: Error) => void) {
		this.#resolve = resolve;
		this.#reject = reject;
		this.#timer = startTimeout(timeoutMilliseconds, error => {
			this.#timeoutError = error;
			this.#controller?.abort(error);
		});
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#timeoutError !== undefined) {
			controller.abort(this.#timeoutError);
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, statusCode: number, headers: CollectedAnswer['headers']): void {
		// Of informational answers (1xx) and the final one that follows them, the last one counts.
		this.#statusCode = statusCode;
		this.#headers = headers;
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		// Bytes that were read before the connection was closed still arrive.
		if (this.#dropError === undefined) {
			this.#pieces.push(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength));
			budget.note(this, this.#pieces.heldBytes);
		}
	}

	onResponseEnd(): void {
		this.#end();
		if (this.#dropError !== undefined) {
			this.#reject(this.#dropError);
			return;
		}

		this.#resolve({statusCode: this.#statusCode, headers: this.#headers, text: decoder.decode(this.#pieces.toBuffer())});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#end();
		this.#reject(error);
	}

	drop(error: Error): void {
		this.#dropError = error;
		this.#pieces = new BodyPieces();
		this.#controller?.abort(error);
	}

	#end(): void {
		clearTimeout(this.#timer);
		budget.release(this);
	}
}
