/**
 * Checks declaration files: the YAML, the schema, and what the schema cannot say (names used twice, names that nothing
 * declares). All findings of all files are reported together, each with file, line and column.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import {type Finding} from '../shared/types.js';
import {type Declaration, declarationSchema} from './declaration-schema.js';

/** One file as read. */
export type DeclarationFile = {
	file: string;
	text: string;
};

type Path = ReadonlyArray<string | number>;
type PlacedDeclaration = {declaration: Declaration; placeOf(path: Path): Finding['place']};

/**
 * Checks files that together make one declaration.
 *
 * @param files - The files, in any order.
 * @returns The declaration of all of them, or all findings.
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
		findings.push(...findUnknownNames(placed));
	}

	return findings.length > 0 ? Left(findings) : Right(joinDeclarations(placed));
}

function checkFile({file, text}: DeclarationFile): Either<Finding[], PlacedDeclaration> {
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter, prettyErrors: false});
	const placeAt = (offset: number): Finding['place'] => {
		const {line, col} = lineCounter.linePos(offset);
		return {
			source: 'file', file, line: Math.max(1, line), column: Math.max(1, col),
		};
	};

	if (document.errors.length > 0) {
		return Left(document.errors.map(error => ({place: placeAt(error.pos[0]), message: error.message})));
	}

	const placeOf = (path: Path): Finding['place'] => placeAt(offsetOf(document, path));
	const parsed = declarationSchema.safeParse(document.toJS({maxAliasCount: 100}) ?? {});
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

/** Finds where a value starts; for one that is missing, where the thing it is missing from starts. */
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

function findUnknownNames(placed: readonly PlacedDeclaration[]): Finding[] {
	const services = new Set(placed.flatMap(({declaration}) => declaration.services.map(service => service.name)));
	const workspaces = new Set(placed.flatMap(({declaration}) => declaration.workspaces.map(workspace => workspace.name)));
	const findings: Finding[] = [];
	for (const {declaration, placeOf} of placed) {
		for (const [index, workspace] of declaration.workspaces.entries()) {
			for (const [position, service] of workspace.services.entries()) {
				if (!services.has(service)) {
					findings.push({place: placeOf(['workspaces', index, 'services', position]), message: `no service "${service}" is declared`});
				}
			}
		}

		for (const [index, rule] of declaration.rules.entries()) {
			if (rule.service !== undefined && !services.has(rule.service)) {
				findings.push({place: placeOf(['rules', index, 'service']), message: `no service "${rule.service}" is declared`});
			}

			if (rule.workspace !== undefined && !workspaces.has(rule.workspace)) {
				findings.push({place: placeOf(['rules', index, 'workspace']), message: `no workspace "${rule.workspace}" is declared`});
			}
		}
	}

	return findings;
}

function joinDeclarations(placed: readonly PlacedDeclaration[]): Declaration {
	return {
		workspaces: placed.flatMap(({declaration}) => declaration.workspaces),
		services: placed.flatMap(({declaration}) => declaration.services),
		rules: placed.flatMap(({declaration}) => declaration.rules),
		limits: placed.flatMap(({declaration}) => declaration.limits),
	};
}
