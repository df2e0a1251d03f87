/** The checks that settings share. Each turns a text into a value, or says what is wrong with the text. */
import {isIP} from 'node:net';
import {Either, Left, Right} from 'purify-ts/Either';

const highestPort = 65_535;

/** Takes any text that is not empty. */
export function parseText(text: string): Either<string, string> {
	return text.trim() === '' ? Left('must not be empty') : Right(text);
}

/** Takes any text, the empty one too. */
export function parseOptionalText(text: string): Either<string, string> {
	return Right(text);
}

/** Takes `IP:port`. A host name is refused: processes find each other by IP number. */
export function parseAddress(text: string): Either<string, string> {
	const separator = text.lastIndexOf(':');
	const host = text.slice(0, separator).replaceAll(/[\[\]]/gv, '');
	const port = Number(text.slice(separator + 1));
	const valid = separator > 0 && isIP(host) !== 0 && Number.isInteger(port) && port >= 0 && port <= highestPort;
	return valid ? Right(text) : Left(`"${text}" is no IP:port`);
}

/** Takes `IP:port`, or the empty text for "none". */
export function parseOptionalAddress(text: string): Either<string, string> {
	return text === '' ? Right('') : parseAddress(text);
}

/** Takes one or more `IP:port` with commas between. */
export function parseAddressList(text: string): Either<string, string[]> {
	return Either.sequence(text.split(',').map(address => parseAddress(address.trim())));
}

/**
 * Makes a check for whole numbers in a range.
 *
 * @param minimum - The least number taken.
 * @param maximum - The greatest number taken.
 * @returns The check.
 */
export function parseWholeNumberBetween(minimum: number, maximum: number) {
	return (text: string): Either<string, number> => {
		const value = text.trim() === '' ? Number.NaN : Number(text);
		const valid = Number.isInteger(value) && value >= minimum && value <= maximum;
		return valid ? Right(value) : Left(`"${text}" is no whole number from ${minimum} to ${maximum}`);
	};
}
