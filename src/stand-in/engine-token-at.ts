import {digestOf} from '../shared/digest-of.js';

const syllables = ['ka', 'lo', 'mi', 'ra', 'su', 'te', 'vo', 'ze', 'bi', 'du', 'fe', 'go', 'hi', 'jo', 'ne', 'pa'];

/**
 * Gives the token that the stand-in engine answers at a place.
 *
 * The token depends on the whole prompt, so that an answer handed to the wrong caller, a token left out or one sent
 * twice is seen by whoever knows the prompt.
 *
 * @param prompt - The whole prompt, as one text.
 * @param index - The place of the token in the answer, from 0.
 * @returns One word with a space behind it.
 */
export function engineTokenAt(prompt: string, index: number): string {
	const digest = digestOf(`${index}:${prompt}`);
	return `${syllables[Number.parseInt(digest[0]!, 16)]!}${syllables[Number.parseInt(digest[1]!, 16)]!} `;
}

/**
 * Gives the whole text that the stand-in engine answers to a prompt.
 *
 * @param prompt - The whole prompt, as one text.
 * @param tokens - How many tokens the answer has.
 * @returns The text of all tokens.
 */
export function engineAnswerTo(prompt: string, tokens: number): string {
	return Array.from({length: tokens}, (_, index) => engineTokenAt(prompt, index)).join('');
}
