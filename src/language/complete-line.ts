import {fieldsOfSource} from './sources.js';

const verbs = ['drain', 'admit', 'pause', 'resume', 'cancel', 'move'];
const readWords = ['where', 'order by', 'limit', 'and', 'or', 'not', 'contains', 'asc', 'desc'];
const commandWords = ['because', 'to', 'again'];

/**
 * Completes the last word of a line of the operators' language.
 *
 * @param line - The text typed so far.
 * @returns The matching words, and the partial word that they complete, in the form that `node:readline` expects.
 */
export function completeLine(line: string): [string[], string] {
	const words = line.trimStart().split(/\s+/v);
	const last = words.at(-1)!;
	const candidates = candidatesFor(words).filter(word => word.toLowerCase().startsWith(last.toLowerCase()));
	return [candidates, last];
}

function candidatesFor(words: readonly string[]): string[] {
	const sources = Object.keys(fieldsOfSource);
	if (words.length < 2) {
		return ['show', ...sources, ...verbs, 'help', 'exit'];
	}

	const [first, second] = words.map(word => word.toLowerCase());
	if (first === 'show' && words.length === 2) {
		return sources;
	}

	if (verbs.includes(first!)) {
		return commandWords;
	}

	const source = (first === 'show' ? second : first) as keyof typeof fieldsOfSource;
	return [...readWords, ...(Object.hasOwn(fieldsOfSource, source) ? fieldsOfSource[source] : [])];
}
