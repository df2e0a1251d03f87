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

const maxAliases = 100;

type Path = ReadonlyArray<string | number>;
type ParsedFile = {declaration: Declaration; placeOf(path: Path): Finding['place']};

/**
 * Checks the files that together form one declaration.
 *
 * @param files - The files, in any order.
 * @returns The merged declaration, or all findings.
 */
export function checkDeclaration(files: readonly DeclarationFile[]): Either<Finding[], Declaration> {
	const findings: Finding[] = [];
	const parsedFiles: ParsedFile[] = [];
	for (const file of files) {
		checkFile(file).caseOf({
			Left(found) {
				findings.push(...found);
			},
			Right(declaration) {
				parsedFiles.push(declaration);
			},
		});
	}

	findings.push(...findDuplicateNames(parsedFiles));
	if (findings.length === 0) {
		findings.push(...findCrossFileErrors(parsedFiles));
	}

	return findings.length > 0 ? Left(findings) : Right(mergeDeclarations(parsedFiles));
}

function checkFile({file, text}: DeclarationFile): Either<Finding[], ParsedFile> {
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
	const content = resolveContent(document);
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
function resolveContent(document: Document): Either<string, unknown> {
	try {
		return Right(document.toJS({maxAliasCount: maxAliases}) as unknown);
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

function findDuplicateNames(parsedFiles: readonly ParsedFile[]): Finding[] {
	const findings: Finding[] = [];
	const seen = new Set<string>();
	for (const {declaration, placeOf} of parsedFiles) {
		for (const list of listNames) {
			for (const [index, {name}] of declaration[list].entries()) {
				const qualifiedName = `${list}/${name}`;
				if (seen.has(qualifiedName)) {
					findings.push({place: placeOf([list, index, 'name']), message: `the name "${name}" is declared twice in ${list}`});
				}

				seen.add(qualifiedName);
			}
		}
	}

	return findings;
}

/** Finds the errors that show only across files, such as references to names that no file declares. */
function findCrossFileErrors(parsedFiles: readonly ParsedFile[]): Finding[] {
	return findBrokenReferences(mergeDeclarations(parsedFiles)).map(({path: [list, position, ...rest], message}) => {
		const {placeOf, index} = locateInFiles(parsedFiles, list as ListName, Number(position));
		return {place: placeOf([list!, index, ...rest]), message};
	});
}

/** Finds the file that an item of the merged declaration came from, and the item's index there. */
function locateInFiles(parsedFiles: readonly ParsedFile[], list: ListName, position: number): {placeOf: ParsedFile['placeOf']; index: number} {
	let index = position;
	for (const {declaration, placeOf} of parsedFiles) {
		if (index < declaration[list].length) {
			return {placeOf, index};
		}

		index -= declaration[list].length;
	}

	throw new RangeError(`${list} has no item ${position}`);
}

function mergeDeclarations(parsedFiles: readonly ParsedFile[]): Declaration {
	return {
		workspaces: parsedFiles.flatMap(({declaration}) => declaration.workspaces),
		services: parsedFiles.flatMap(({declaration}) => declaration.services),
		rules: parsedFiles.flatMap(({declaration}) => declaration.rules),
		limits: parsedFiles.flatMap(({declaration}) => declaration.limits),
	};
}
