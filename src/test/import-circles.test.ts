/**
 * Modules that import each other cannot be read, tested or moved one at a time, and what one of them finds at its top
 * level depends on which was loaded first. Imports of types count: they are gone at run time, but not for a reader.
 */
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';

type ImportGraph = ReadonlyMap<string, readonly string[]>;

/** The module name of every import and export from another file: static, for its effect alone, or by a call. */
const importedName = /\b(?:from|import)\s*\(?\s*'(?<name>\.{1,2}\/[^']+)\.js'/gv;

/** Reads which source file imports which, by their paths below `src`. */
function readImportGraph(): ImportGraph {
	const files = readdirSync('src', {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts'));
	return new Map(files.map(file => [file, importsOf(file, readFileSync(`src/${file}`, 'utf8'))]));
}

function importsOf(file: string, text: string): string[] {
	const names = [...text.matchAll(importedName)].map(({groups}) => groups!.name!);
	return names.map(name => path.join(path.dirname(file), `${name}.ts`));
}

/** Finds circles: each as its files in the order of their imports, the first one repeated at the end. */
function findCircles(graph: ImportGraph): string[][] {
	const circles: string[][] = [];
	const finished = new Set<string>();
	const visit = (file: string, way: readonly string[]): void => {
		if (way.includes(file)) {
			circles.push([...way.slice(way.indexOf(file)), file]);
			return;
		}

		if (finished.has(file)) {
			return;
		}

		for (const imported of graph.get(file) ?? []) {
			visit(imported, [...way, file]);
		}

		finished.add(file);
	};

	for (const file of graph.keys()) {
		visit(file, []);
	}

	return circles;
}

test('no source file imports itself by way of others, not even for a type', () => {
	const graph = readImportGraph();
	assert.deepEqual(findCircles(graph).map(circle => circle.join(' > ')), []);
});

test('every import is read: each names a file that exists', () => {
	// A way of writing imports that the reader mistakes would leave circles unseen.
	const graph = readImportGraph();
	const missing = [...graph].flatMap(([file, imported]) => imported.filter(name => !graph.has(name)).map(name => `${file} > ${name}`));
	assert.deepEqual(missing, []);
});

test('a circle of three files is found, with its way', () => {
	const graph = new Map([['main.ts', ['a.ts']], ['a.ts', ['b.ts', 'c.ts']], ['b.ts', ['c.ts']], ['c.ts', ['a.ts']]]);
	assert.deepEqual(findCircles(graph), [['a.ts', 'b.ts', 'c.ts', 'a.ts']]);
});
