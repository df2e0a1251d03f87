// Puts the compiled gateway and its libraries into one file, and its compiled code beside it. Node keeps the text and the
// links of each module that it loads; a single one takes less memory and starts sooner. With the code cache, V8 compiles
// nothing at a start, which is a third of what a start takes; a cache of another version or other flags is passed over.
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import vm from 'node:vm';
import {buildSync} from 'esbuild';

const [folder] = process.argv.slice(2);
if (folder === undefined) {
	throw new Error('usage: node FLAGS-OF-THE-GATEWAY scripts/bundle-gateway.mjs FOLDER');
}

const bundle = `${folder}/gateway-bundle.cjs`;
buildSync({
	entryPoints: [`${folder}/gateway/run-gateway.js`],
	outfile: bundle,
	bundle: true,
	platform: 'node',
	target: 'node20.20',
	format: 'cjs',
	minifySyntax: true,
	minifyWhitespace: true,
	logLevel: 'warning',
});

/** What a start does, as text: the wrapper is that of Node's own modules of the older format. */
const launcher = `import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import vm from 'node:vm';

const file = new URL('gateway-bundle.cjs', import.meta.url);
const source = '(function (exports, require, module) {' + readFileSync(file, 'utf8') + '})';
const script = new vm.Script(source, {filename: file.pathname, cachedData: readFileSync(new URL('gateway-bundle.cache', import.meta.url))});
const bundle = {exports: {}};
script.runInThisContext()(bundle.exports, createRequire(import.meta.url), bundle);
await bundle.exports.runGateway();
`;

const source = `(function (exports, require, module) {${readFileSync(bundle, 'utf8')}})`;
const script = new vm.Script(source, {filename: bundle});
// Functions that run while the modules are loaded are compiled by now, and come into the cache as well.
script.runInThisContext()({}, createRequire(import.meta.url), {exports: {}});
writeFileSync(`${folder}/gateway-bundle.cache`, script.createCachedData());
writeFileSync(`${folder}/gateway.mjs`, launcher);
