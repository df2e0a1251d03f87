// Turns src/language/grammar.peggy into src/language/generated/parser.ts. With --check it writes nothing and ends with
// status 1 when the committed file is not what the grammar gives.
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
	console.log(isSame ? `${parserPath} is what the grammar gives` : `${parserPath} is out of date: run npm run generate:language`);
	process.exitCode = isSame ? 0 : 1;
} else {
	writeFileSync(parserPath, text);
}
