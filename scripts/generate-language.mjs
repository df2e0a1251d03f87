// Generates src/language/generated/parser.ts from src/language/grammar.peggy. With --check it writes nothing, and exits
// with status 1 if the committed file is out of date.
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import peggy from 'peggy';

const grammarPath = 'src/language/grammar.peggy';
const parserPath = 'src/language/generated/parser.ts';
const head = '// @ts-nocheck -- Generated from grammar.peggy by `npm run generate:language`; not edited by hand.\n';

const generated = peggy.generate(readFileSync(grammarPath, 'utf8'), {output: 'source', format: 'es', cache: true});
const text = head + generated.replaceAll('\r\n', '\n');
if (process.argv.includes('--check')) {
	const isSame = readFileSync(parserPath, 'utf8') === text;
	console.log(isSame ? `${parserPath} is up to date` : `${parserPath} is out of date: run npm run generate:language`);
	process.exitCode = isSame ? 0 : 1;
} else {
	writeFileSync(parserPath, text);
}
