import {type Either, Left, Right} from 'purify-ts/Either';
import {type Finding} from '../shared/types.js';

/**
 * Parses one argument of a command line.
 *
 * @param name - The flag or the name of the argument, for example `--against` or `VERSION`.
 * @param text - The text; `undefined` if it is missing, `true` for a flag without a value.
 * @param parse - Returns the value, or the message for the finding.
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
