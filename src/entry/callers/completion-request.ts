/** Parses the requests of the published completions protocol; members that savorygauge does not use are passed through. */
import {type Buffer} from 'node:buffer';
import {type Either, Left, Right} from 'purify-ts/Either';
import {z} from 'zod';
import {type JsonValue, type Refusal} from '../../shared/types.js';

const maxCompletionTokens = 1_000_000;

const common = {
	model: z.string().min(1),
	stream: z.boolean().nullish(),
	stream_options: z.object({include_usage: z.boolean().optional()}).nullish(),
	max_tokens: z.number().int().positive().max(maxCompletionTokens).nullish(),
	max_completion_tokens: z.number().int().positive().max(maxCompletionTokens).nullish(),
	n: z.literal(1).nullish(),
};

const chatSchema = z.looseObject({
	...common,
	messages: z.array(z.looseObject({role: z.string(), content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional()})).min(1),
});

const textSchema = z.looseObject({...common, prompt: z.string()});

/** The two shapes of the protocol: `chat` has messages, `text` has a prompt. */
export type CompletionShape = 'chat' | 'text';

/** A parsed request. `body` is sent to the engine. */
export type CompletionRequest = {
	shape: CompletionShape;
	model: string;
	stream: boolean;
	includeUsage: boolean;
	body: Record<string, JsonValue>;
};

/**
 * Parses a completions request.
 *
 * @param shape - The shape that belongs to the request's path.
 * @param body - The bytes of its body.
 * @returns The request, or a refusal that lists the invalid members.
 */
export function parseCompletionRequest(shape: CompletionShape, body: Buffer): Either<Refusal, CompletionRequest> {
	let value: unknown;
	try {
		value = JSON.parse(body.toString('utf8'));
	} catch {
		return Left({reason: 'bad-request', ran: 'not-run', message: 'the body is no JSON'});
	}

	const parsed = (shape === 'chat' ? chatSchema : textSchema).safeParse(value);
	if (!parsed.success) {
		const problems = parsed.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`);
		return Left({reason: 'bad-request', ran: 'not-run', message: problems.join('; ')});
	}

	const {model, stream, stream_options: streamOptions} = parsed.data;
	return Right({
		shape,
		model,
		stream: stream ?? false,
		includeUsage: streamOptions?.include_usage ?? false,
		body: parsed.data as Record<string, JsonValue>,
	});
}
