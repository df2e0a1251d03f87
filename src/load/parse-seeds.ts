import {InvalidArgumentError} from 'commander';

const seedLimit = 1000;

/**
 * Parses the seeds of a command line: `3`, `1..10` or `1,4,9`.
 *
 * @param text - The value of the option.
 * @returns The seeds, in the order given.
 * @throws `InvalidArgumentError` if the text has none of these forms, or a range is empty or too long.
 */
export function parseSeeds(text: string): number[] {
	const range = /^(?<first>\d+)\.\.(?<last>\d+)$/v.exec(text)?.groups;
	if (range !== undefined) {
		const first = Number(range.first);
		const count = Number(range.last) - first + 1;
		if (count < 1 || count > seedLimit) {
			throw new InvalidArgumentError(`a range must be ascending and have at most ${seedLimit} seeds.`);
		}

		return Array.from({length: count}, (_, index) => first + index);
	}

	if (!/^\d+(?:,\d+)*$/v.test(text)) {
		throw new InvalidArgumentError('seeds must have the form 3, 1..10 or 1,4,9.');
	}

	return text.split(',').map(Number);
}
