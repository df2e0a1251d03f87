import {digestOf} from '../shared/digest-of.js';

const syllables = ['ka', 'lo', 'mi', 'ra', 'su', 'te', 'vo', 'ze', 'bi', 'du', 'fe', 'go', 'hi', 'jo', 'ne', 'pa'];

/**
 * Returns the token that the stand-in engine generates at an index of its answer.
 *
 * The token depends on the whole prompt, so that a check that knows the prompt detects an answer sent to the wrong
 * caller, a missing token and a duplicated one.
 *
 * @param prompt - The whole prompt, as one text.
 * @param index - The index of the token in the answer, from 0.
 * @returns One word followed by a space.
 */
export function engineTokenAt(prompt: string, index: number): string {
	const digest = digestOf(`${index}:${prompt}`);
	return `${syllables[Number.parseInt(digest[0]!, 16)]!}${syllables[Number.parseInt(digest[1]!, 16)]!} `;
}

/**
 * Returns the complete answer of the stand-in engine to a prompt.
 *
 * @param prompt - The whole prompt, as one text.
 * @param tokens - The number of tokens of the answer.
 * @returns The text of all tokens.
 */
export function engineAnswerTo(prompt: string, tokens: number): string {
	return Array.from({length: tokens}, (_, index) => engineTokenAt(prompt, index)).join('');
}
