/** What the demo sends, and what came back. Every answer is compared with the text that its own prompt must give. */
import {engineAnswerTo} from '../stand-in/engine-token-at.js';
import {
	type BookingResult, type PromptResult, type PromptToSend, sendBooking, sendPrompt,
} from './demo-client.js';

const longPromptCharacters = 24_000;

/** A caller of the demo. */
export type DemoCaller = {
	key: string;
	model: string;
	/** What the caller's long prompts are made of. */
	subject: string;
};

export const demoCallers: readonly DemoCaller[] = [
	{key: 'quay-demo-key', model: 'permit-1', subject: 'pitch on the quay'},
	{key: 'councils-demo-key', model: 'permit-1', subject: 'rulebook of the council'},
	{key: 'parish-demo-key', model: 'lesson-1', subject: 'curriculum of the parish'},
];

/** A prompt with the text that a whole answer has. */
export type ExpectedPrompt = {
	prompt: PromptToSend;
	expected: string;
};

/** One prompt that was sent. */
export type SentPrompt = {
	prompt: PromptToSend;
	result: PromptResult;
	isWhole: boolean;
};

/**
 * Makes the prompts of one round: each caller asks one short question and sends one long prompt that comes back every
 * round with another question behind it.
 *
 * @param round - Counts from 0.
 * @param entries - Addresses of the entries; they are used in turn.
 * @returns The prompts.
 */
export function promptsOfRound(round: number, entries: readonly string[]): ExpectedPrompt[] {
	return demoCallers.flatMap((caller, index) => {
		const entryAt = (offset: number): string => entries[((round * demoCallers.length) + index + offset) % entries.length]!;
		const long = `${caller.subject} `.repeat(Math.ceil(longPromptCharacters / (caller.subject.length + 1)));
		const contents = [`Question ${round} about the ${caller.subject}`, `${long}\nQuestion ${round}`];
		return contents.map((content, offset) => ({
			prompt: {
				entry: entryAt(offset), key: caller.key, model: caller.model, content, maxTokens: 12 + index, stream: (round + offset) % 3 !== 2,
			},
			expected: engineAnswerTo(`user: ${content}`, 12 + index),
		}));
	});
}

/** Sends prompts at the same time. */
export async function sendAll(prompts: readonly ExpectedPrompt[]): Promise<SentPrompt[]> {
	return Promise.all(prompts.map(async ({prompt, expected}) => {
		const result = await sendPrompt(prompt, () => performance.now());
		return {prompt, result, isWhole: result.status === 200 && result.text === expected};
	}));
}

/** Sends each booking three times under one key: twice at the same time at two entries, and once more later. */
export async function sendBookings(names: readonly string[], entries: readonly string[]): Promise<BookingResult[]> {
	const results = await Promise.all(names.map(async (name, index) => {
		const at = (offset: number) => ({
			entry: entries[(index + offset) % entries.length]!, key: 'quay-demo-key', path: '/services/bookings/bookings', name, idempotencyKey: `key-of-${name}`,
		});
		const together = await Promise.all([sendBooking(at(0)), sendBooking(at(1))]);
		return [...together, await sendBooking(at(2))];
	}));
	return results.flat();
}
