import {InvalidArgumentError} from 'commander';

const seedLimit = 1000;

/**
 * Reads seeds from a command line: `3`, `1..10` or `1,4,9`.
 *
 * @param text - What was written.
 * @returns The seeds in order.
 * @throws `InvalidArgumentError` if it is none of these.
 */
export function parseSeeds(text: string): number[] {
	const range = /^(?<first>\d+)\.\.(?<last>\d+)$/v.exec(text)?.groups;
	if (range !== undefined) {
		const first = Number(range.first);
		const count = Number(range.last) - first + 1;
		if (count < 1 || count > seedLimit) {
			throw new InvalidArgumentError(`a range goes up and has at most ${seedLimit} seeds.`);
		}

		return Array.from({length: count}, (_, index) => first + index);
	}

	if (!/^\d+(?:,\d+)*$/v.test(text)) {
		throw new InvalidArgumentError('seeds are written 3, 1..10 or 1,4,9.');
	}

	return text.split(',').map(Number);
}
