/** A caller with little overhead of its own: it times the first token and parses only the end of the stream. */
import {Buffer} from 'node:buffer';
import {Agent} from 'undici';

const tailBytes = 1024;

/** The servers that load is sent to. */
export type LoadTarget = {
	name: 'direct' | 'entry';
	/** Addresses, used round-robin. */
	addresses: readonly string[];
	headers: Record<string, string>;
};

/** The result of one streamed answer. */
export type StreamResult = {
	timeToFirstTokenMilliseconds: number;
	isWhole: boolean;
	tokens: number;
};

export class LoadClient {
	readonly #agent = new Agent({pipelining: 1, keepAliveTimeout: 30_000});
	readonly #target: LoadTarget;
	#sent = 0;

	constructor(target: LoadTarget) {
		this.#target = target;
	}

	get name(): LoadTarget['name'] {
		return this.#target.name;
	}

	/** Sends one prompt and reads the streamed answer to its end. */
	async stream(maxTokens: number): Promise<StreamResult> {
		const {addresses, headers} = this.#target;
		const number = this.#sent++;
		const sentAt = performance.now();
		const answer = await this.#agent.request({
			origin: `http://${addresses[number % addresses.length]!}`,
			path: '/v1/chat/completions',
			method: 'POST',
			headers: {'content-type': 'application/json', ...headers},
			body: JSON.stringify({
				model: 'permit-1', stream: true, stream_options: {include_usage: true}, max_tokens: maxTokens, messages: [{role: 'user', content: `Short question ${number}`}],
			}),
		});
		let firstAt = 0;
		let tail: Uint8Array = Buffer.alloc(0);
		for await (const chunk of answer.body as AsyncIterable<Buffer>) {
			firstAt = firstAt === 0 ? performance.now() : firstAt;
			tail = chunk.length >= tailBytes ? chunk.subarray(-tailBytes) : Buffer.concat([tail, chunk]).subarray(-tailBytes);
		}

		const text = Buffer.from(tail).toString('utf8');
		return {
			timeToFirstTokenMilliseconds: firstAt - sentAt,
			isWhole: answer.statusCode === 200 && text.endsWith('data: [DONE]\n\n'),
			tokens: Number(/"completion_tokens":(?<tokens>\d+)/v.exec(text)?.groups?.tokens ?? 0),
		};
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}
}
