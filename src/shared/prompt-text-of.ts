import {type JsonValue} from './types.js';

/**
 * Returns the whole prompt of a completions request as one text.
 *
 * @param body - The body of a chat-completions request (`messages`) or of a completions request (`prompt`).
 * @returns The messages as `role: content` lines, or the prompt; the empty text if there is neither.
 */
export function promptTextOf(body: Record<string, JsonValue>): string {
	const {messages, prompt} = body;
	if (Array.isArray(messages)) {
		return messages
			.map(message => message as {role: string; content: JsonValue})
			.map(({role, content}) => `${role}: ${typeof content === 'string' ? content : JSON.stringify(content)}`)
			.join('\n');
	}

	return typeof prompt === 'string' ? prompt : '';
}
