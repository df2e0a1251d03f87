import {type Either, Left, Right} from 'purify-ts/Either';
import {parse} from './generated/parser.js';
import {type LanguageError, type Statement} from './statement.js';

/** The longest line that is parsed. The bound limits the depth of nested conditions, and with it the parser's stack. */
export const maxStatementCharacters = 1000;

type Expectation = {type: 'literal'; text: string} | {type: 'other'; description: string} | {type: 'class' | 'any' | 'end'};
type ParserError = {
	expected: Expectation[] | null;
	location: {start: {offset: number; column: number; line: number}};
};

/**
 * Parses one line of the operators' language.
 *
 * @param text - The line.
 * @returns The statement, or the column of the first error and what was expected there.
 * @example
 * parseStatement('endpoints where state = leaving order by name limit 5');
 */
export function parseStatement(text: string): Either<LanguageError, Statement> {
	if (text.length > maxStatementCharacters) {
		return Left({column: maxStatementCharacters + 1, message: `a statement has at most ${maxStatementCharacters} characters`});
	}

	const line = text.replaceAll(/[\r\n]/gv, ' ');
	try {
		return Right((parse as (input: string) => Statement)(line));
	} catch (error) {
		const {expected, location} = error as ParserError;
		if (location === undefined) {
			return Left({column: 1, message: 'the statement is nested too deeply'});
		}

		const {offset, column} = location.start;
		const described = describeExpectations(expected ?? []);
		// At the end of a line, the parser may expect only a space. The words expected after that space are more useful.
		const next = described.length === 0 && offset === line.length ? expectedAfterSpace(line) : described;
		return Left({column, message: `expected ${joinAlternatives(next)}, but found ${describeFound(line, offset)}`});
	}
}

function expectedAfterSpace(line: string): string[] {
	try {
		(parse as (input: string) => unknown)(`${line} `);
		return [];
	} catch (error) {
		return describeExpectations((error as ParserError).expected ?? []);
	}
}

function describeExpectations(expected: readonly Expectation[]): string[] {
	const texts = new Set(expected.map(expectation => describeExpectation(expectation)));
	return [...texts].filter(text => text !== '' && text !== 'a space').toSorted();
}

function joinAlternatives(texts: readonly string[]): string {
	return texts.length < 2 ? (texts[0] ?? 'a space') : `${texts.slice(0, -1).join(', ')} or ${texts.at(-1)!}`;
}

function describeExpectation(expectation: Expectation): string {
	switch (expectation.type) {
		case 'literal': {
			return `"${expectation.text}"`;
		}

		case 'other': {
			return expectation.description;
		}

		case 'end': {
			return 'the end';
		}

		case 'class':
		case 'any': {
			return '';
		}
	}
}

function describeFound(line: string, offset: number): string {
	const word = /^(?:[\w.:\/\-]+|\S)/v.exec(line.slice(offset).trimStart())?.[0];
	return word === undefined ? 'the end' : `"${word}"`;
}
