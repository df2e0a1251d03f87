/** The parsers that settings share. Each returns the value, or a message that says why the text is invalid. */
import {isIP} from 'node:net';
import {Either, Left, Right} from 'purify-ts/Either';

const highestPort = 65_535;

/** Accepts any text but an empty one or white space. */
export function parseText(text: string): Either<string, string> {
	return text.trim() === '' ? Left('must not be empty') : Right(text);
}

/** Accepts any text, including the empty one. */
export function parseOptionalText(text: string): Either<string, string> {
	return Right(text);
}

/** Accepts `IP:port`, but no host name: processes address each other by IP address. */
export function parseAddress(text: string): Either<string, string> {
	const separator = text.lastIndexOf(':');
	const host = text.slice(0, separator).replaceAll(/[\[\]]/gv, '');
	const port = Number(text.slice(separator + 1));
	const valid = separator > 0 && isIP(host) !== 0 && Number.isInteger(port) && port >= 0 && port <= highestPort;
	return valid ? Right(text) : Left(`"${text}" is not an IP:port`);
}

/** Accepts `IP:port`, or the empty text for no address. */
export function parseOptionalAddress(text: string): Either<string, string> {
	return text === '' ? Right('') : parseAddress(text);
}

/** Accepts one or more `IP:port`, separated by commas. */
export function parseAddressList(text: string): Either<string, string[]> {
	return Either.sequence(text.split(',').map(address => parseAddress(address.trim())));
}

/** Creates a parser for whole numbers from `minimum` to `maximum`, both included. */
export function parseWholeNumberBetween(minimum: number, maximum: number) {
	return (text: string): Either<string, number> => {
		const value = text.trim() === '' ? Number.NaN : Number(text);
		const valid = Number.isInteger(value) && value >= minimum && value <= maximum;
		return valid ? Right(value) : Left(`"${text}" is not a whole number from ${minimum} to ${maximum}`);
	};
}
