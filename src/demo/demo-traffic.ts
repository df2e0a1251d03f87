/** The traffic of the demo. Every answer is compared with the text that the stand-in engine generates for its prompt. */
import {engineAnswerTo} from '../stand-in/engine-token-at.js';
import {
	type BookingResult, type PromptResult, type PromptToSend, sendBooking, sendPrompt,
} from './demo-client.js';

const longPromptCharacters = 24_000;

/** A caller of the demo. */
export type DemoCaller = {
	key: string;
	model: string;
	/** The text that the caller's long prompts repeat. */
	subject: string;
};

export const demoCallers: readonly DemoCaller[] = [
	{key: 'quay-demo-key', model: 'permit-1', subject: 'pitch on the quay'},
	{key: 'councils-demo-key', model: 'permit-1', subject: 'rulebook of the council'},
	{key: 'parish-demo-key', model: 'lesson-1', subject: 'curriculum of the parish'},
];

/** A prompt and the text of its complete answer. */
export type ExpectedPrompt = {
	prompt: PromptToSend;
	expected: string;
};

/** A prompt that was sent, and its result. */
export type SentPrompt = {
	prompt: PromptToSend;
	result: PromptResult;
	isWhole: boolean;
};

/**
 * Creates the prompts of one round. Each caller sends a short question, and a long prompt that is the same in every round
 * but for the question at its end.
 *
 * @param round - The number of the round, from 0.
 * @param entries - Addresses of the entries, which are used in turn.
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

/** Sends all prompts concurrently. */
export async function sendAll(prompts: readonly ExpectedPrompt[]): Promise<SentPrompt[]> {
	return Promise.all(prompts.map(async ({prompt, expected}) => {
		const result = await sendPrompt(prompt, () => performance.now());
		return {prompt, result, isWhole: result.status === 200 && result.text === expected};
	}));
}

/** Sends each booking three times with one idempotency key: twice concurrently to two entries, and once more afterwards. */
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
