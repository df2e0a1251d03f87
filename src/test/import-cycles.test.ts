/**
 * Checks that there are no import cycles. Modules in a cycle cannot be read, tested or moved one at a time, and the values
 * that they see at their top level depend on the loading order. Type imports count too: they do not exist at run time, but
 * a reader has to follow them.
 */
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';

type ImportGraph = ReadonlyMap<string, readonly string[]>;

/** Matches the module name in imports and re-exports of other files: static, for side effects only, or dynamic. */
const importedName = /\b(?:from|import)\s*\(?\s*'(?<name>\.{1,2}\/[^']+)\.js'/gv;

/** Reads the imports of all source files, as paths relative to `src`. */
function readImportGraph(): ImportGraph {
	const files = readdirSync('src', {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts'));
	return new Map(files.map(file => [file, importsOf(file, readFileSync(`src/${file}`, 'utf8'))]));
}

function importsOf(file: string, text: string): string[] {
	const names = [...text.matchAll(importedName)].map(({groups}) => groups!.name!);
	return names.map(name => path.join(path.dirname(file), `${name}.ts`));
}

/** Finds cycles. Each is a list of its files in the order of their imports, with the first one repeated at the end. */
function findCycles(graph: ImportGraph): string[][] {
	const cycles: string[][] = [];
	const finished = new Set<string>();
	const visit = (file: string, importPath: readonly string[]): void => {
		if (importPath.includes(file)) {
			cycles.push([...importPath.slice(importPath.indexOf(file)), file]);
			return;
		}

		if (finished.has(file)) {
			return;
		}

		for (const imported of graph.get(file) ?? []) {
			visit(imported, [...importPath, file]);
		}

		finished.add(file);
	};

	for (const file of graph.keys()) {
		visit(file, []);
	}

	return cycles;
}

test('there are no import cycles, not even of types', () => {
	const graph = readImportGraph();
	assert.deepEqual(findCycles(graph).map(cycle => cycle.join(' > ')), []);
});

test('every import that was found names an existing file', () => {
	// An import that the pattern misreads would hide cycles.
	const graph = readImportGraph();
	const missing = [...graph].flatMap(([file, imported]) => imported.filter(name => !graph.has(name)).map(name => `${file} > ${name}`));
	assert.deepEqual(missing, []);
});

test('a cycle of three files is found, with its path', () => {
	const graph = new Map([['main.ts', ['a.ts']], ['a.ts', ['b.ts', 'c.ts']], ['b.ts', ['c.ts']], ['c.ts', ['a.ts']]]);
	assert.deepEqual(findCycles(graph), [['a.ts', 'b.ts', 'c.ts', 'a.ts']]);
});
