/**
 * Checks declaration files: the YAML, the schema, and the rules that a schema cannot express (duplicate names, references
 * to undeclared names). All findings of all files are reported together, each with file, line and column.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import {type Finding} from '../shared/types.js';
import {type Declaration, declarationSchema} from './declaration-schema.js';
import {findBrokenReferences} from './find-broken-references.js';

/** The path and content of one file. */
export type DeclarationFile = {
	file: string;
	text: string;
};

const mostAliases = 100;

type Path = ReadonlyArray<string | number>;
type PlacedDeclaration = {declaration: Declaration; placeOf(path: Path): Finding['place']};

/**
 * Checks the files that together form one declaration.
 *
 * @param files - The files, in any order.
 * @returns The merged declaration, or all findings.
 */
export function checkDeclaration(files: readonly DeclarationFile[]): Either<Finding[], Declaration> {
	const findings: Finding[] = [];
	const placed: PlacedDeclaration[] = [];
	for (const file of files) {
		checkFile(file).caseOf({
			Left(found) {
				findings.push(...found);
			},
			Right(declaration) {
				placed.push(declaration);
			},
		});
	}

	findings.push(...findRepeatedNames(placed));
	if (findings.length === 0) {
		findings.push(...findAcrossFiles(placed));
	}

	return findings.length > 0 ? Left(findings) : Right(joinDeclarations(placed));
}

function checkFile({file, text}: DeclarationFile): Either<Finding[], PlacedDeclaration> {
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter, prettyErrors: false, logLevel: 'error'});
	const placeAt = (offset: number): Finding['place'] => {
		const {line, col} = lineCounter.linePos(offset);
		return {
			source: 'file', file, line: Math.max(1, line), column: Math.max(1, col),
		};
	};

	const problems = [...document.errors, ...document.warnings];
	if (problems.length > 0) {
		return Left(problems.map(error => ({place: placeAt(error.pos[0]), message: error.message})));
	}

	const placeOf = (path: Path): Finding['place'] => placeAt(offsetOf(document, path));
	const content = contentOf(document);
	if (content.isLeft()) {
		return Left([{place: placeAt(0), message: content.extract()}]);
	}

	const parsed = declarationSchema.safeParse(content.extract() ?? {});
	if (parsed.success) {
		return Right({declaration: parsed.data, placeOf});
	}

	return Left(parsed.error.issues.flatMap(issue => {
		const path = issue.path as Array<string | number>;
		return issue.code === 'unrecognized_keys'
			? issue.keys.map(key => ({place: placeOf([...path, key]), message: `unknown key "${key}"`}))
			: [{place: placeOf(path), message: `${path.join('.') || 'the file'}: ${issue.message}`}];
	}));
}

/** Resolves YAML aliases. A file with too many of them is rejected, because nested aliases can expand until memory runs out. */
function contentOf(document: Document): Either<string, unknown> {
	try {
		return Right(document.toJS({maxAliasCount: mostAliases}) as unknown);
	} catch (error) {
		return Left((error as Error).message);
	}
}

/** Returns the offset at which a value starts; for a missing value, that of the closest enclosing node. */
function offsetOf(document: Document, path: Path): number {
	for (let {length} = path; length >= 0; length--) {
		const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true);
		if (isNode(node) && node.range) {
			return node.range[0];
		}
	}

	return 0;
}

const listNames = ['workspaces', 'services', 'rules', 'limits'] as const;
type ListName = (typeof listNames)[number];

function findRepeatedNames(placed: readonly PlacedDeclaration[]): Finding[] {
	const findings: Finding[] = [];
	const seen = new Set<string>();
	for (const {declaration, placeOf} of placed) {
		for (const list of listNames) {
			for (const [index, {name}] of declaration[list].entries()) {
				const full = `${list}/${name}`;
				if (seen.has(full)) {
					findings.push({place: placeOf([list, index, 'name']), message: `the name "${name}" is declared twice in ${list}`});
				}

				seen.add(full);
			}
		}
	}

	return findings;
}

/** Finds the errors that show only across files, such as references to names that no file declares. */
function findAcrossFiles(placed: readonly PlacedDeclaration[]): Finding[] {
	return findBrokenReferences(joinDeclarations(placed)).map(({path: [list, position, ...rest], message}) => {
		const {placeOf, index} = placeInFiles(placed, list as ListName, Number(position));
		return {place: placeOf([list!, index, ...rest]), message};
	});
}

/** Finds the file that an item of the merged declaration came from, and the item's index there. */
function placeInFiles(placed: readonly PlacedDeclaration[], list: ListName, position: number): {placeOf: PlacedDeclaration['placeOf']; index: number} {
	let index = position;
	for (const {declaration, placeOf} of placed) {
		if (index < declaration[list].length) {
			return {placeOf, index};
		}

		index -= declaration[list].length;
	}

	throw new RangeError(`${list} has no item ${position}`);
}

function joinDeclarations(placed: readonly PlacedDeclaration[]): Declaration {
	return {
		workspaces: placed.flatMap(({declaration}) => declaration.workspaces),
		services: placed.flatMap(({declaration}) => declaration.services),
		rules: placed.flatMap(({declaration}) => declaration.rules),
		limits: placed.flatMap(({declaration}) => declaration.limits),
	};
}
