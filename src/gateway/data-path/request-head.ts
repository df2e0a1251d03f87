/** Decodes the head of a client's request. */
import {type IncomingMessage} from 'node:http';
import {type PromptBlock, type PromptShape} from '../../shared/prompt-shape.js';
import {type WireNames} from './wire-names.js';

/** An id of an attempt that a caller names: visible ASCII characters, no more than any caller's ids have. */
const namedAttemptPattern = /^[!-~]{1,128}$/v;

/** A client's request without its body. */
export type RequestHead = {
	method: string;
	/** As sent, not decoded. */
	target: string;
	host: string;
	rawHeaders: readonly string[];
	connection: string | undefined;
	attemptId: string;
	/** How long the client waits, from the arrival of the request; `undefined` if it states no deadline. */
	deadlineMilliseconds: number | undefined;
	key: string | undefined;
	/** The content codings that the client accepts; `undefined` if it names none. */
	acceptEncoding: string | undefined;
	lastEventId: string | undefined;
	/** The attempt that brought the first event of the stream that the caller takes up again. */
	resumes: string | undefined;
	prompt: PromptShape | undefined;
};

/**
 * Decodes the head of a request.
 *
 * @param request - The request from `node:http`.
 * @param names - The names of the headers.
 * @returns The decoded head. A value that cannot be parsed counts as absent; the endpoint gets that header unchanged.
 */
export function readRequestHead(request: IncomingMessage, names: WireNames): RequestHead {
	const textOf = (name: string): string | undefined => {
		const value = request.headers[name];
		return Array.isArray(value) ? value[0] : value;
	};

	const lastEventId = textOf(names.lastEventId);
	const deadline = Number(textOf(names.deadline) ?? Number.NaN);
	return {
		method: request.method ?? 'GET',
		target: request.url ?? '/',
		host: request.headers.host ?? '',
		rawHeaders: request.rawHeaders,
		connection: request.headers.connection,
		attemptId: textOf(names.attemptId) ?? '',
		deadlineMilliseconds: Number.isFinite(deadline) && deadline >= 0 ? deadline : undefined,
		key: textOf(names.workspaceKey),
		acceptEncoding: textOf('accept-encoding'),
		lastEventId: lastEventId === '' ? undefined : lastEventId,
		resumes: parseAttemptId(textOf(names.resumes)),
		prompt: parsePrompt(textOf(names.model), textOf(names.tokenCount), textOf(names.promptParts)),
	};
}

/** The attempt that brought the first event of a request's stream, or is to bring it. A stream that is not taken up begins anew. */
export function firstAttemptOf({attemptId, lastEventId, resumes}: Pick<RequestHead, 'attemptId' | 'lastEventId' | 'resumes'>): string {
	return lastEventId === undefined ? attemptId : resumes ?? attemptId;
}

function parseAttemptId(text: string | undefined): string | undefined {
	return text !== undefined && namedAttemptPattern.test(text) ? text : undefined;
}

function parsePrompt(model: string | undefined, tokenCount: string | undefined, promptBlocks: string | undefined): PromptShape | undefined {
	if (model === undefined || tokenCount === undefined) {
		return undefined;
	}

	const [promptTokens = Number.NaN, maxOutputTokens = 0] = tokenCount.split(',').map(Number);
	if (!Number.isFinite(promptTokens) || !Number.isFinite(maxOutputTokens)) {
		return undefined;
	}

	return {
		model, promptTokens, maxOutputTokens, blocks: parseBlocks(promptBlocks ?? ''),
	};
}

function parseBlocks(text: string): PromptBlock[] {
	const blocks: PromptBlock[] = [];
	for (const entry of text.split(',')) {
		const [id = '', count = ''] = entry.split(':');
		const tokens = Number(count);
		if (id.trim() === '' || !Number.isFinite(tokens)) {
			return blocks;
		}

		blocks.push({id: id.trim(), tokens});
	}

	return blocks;
}
