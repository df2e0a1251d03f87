import {type Either, Left, Right} from 'purify-ts/Either';
import {type Finding} from '../shared/types.js';

/**
 * Checks one text that a user gave.
 *
 * @param name - Where it was given, for example `--against` or `VERSION`.
 * @param text - The text; `undefined` if it is missing.
 * @param parse - Gives the value, or what is wrong with the text.
 * @returns The value, or the finding.
 */
export function checkText<Value>(name: string, text: string | true | undefined, parse: (text: string) => Either<string, Value>): Either<Finding, Value> {
	const place = {source: 'flag' as const, name};
	if (text === undefined) {
		return Left({place, message: 'is missing'});
	}

	return text === true
		? Left({place, message: 'needs a value'})
		: parse(text).caseOf<Either<Finding, Value>>({Left: message => Left({place, message}), Right: value => Right(value)});
}
