// Bundles the compiled gateway and its libraries into one file, and writes V8's code cache of it beside it. Node keeps the
// source and the links of each loaded module, so a single module takes less memory and starts faster. With the code cache
// V8 compiles nothing at the start, which saves a third of the start time. V8 itself ignores a cache of other flags or of another
// of its versions, but releases of Node with the same version of V8 differ as well, and end by a segmentation fault; so the launcher
// reads the cache only if the same release for the same architecture has written it.
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import vm from 'node:vm';
import {buildSync} from 'esbuild';

const [folder] = process.argv.slice(2);
if (folder === undefined) {
	throw new Error('usage: node GATEWAY-FLAGS scripts/bundle-gateway.mjs FOLDER');
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

/** The source of the program that starts the bundle. Its wrapper function is the one that Node uses for CommonJS modules. */
const launcher = `import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import vm from 'node:vm';

const isSameRelease = process.version === ${JSON.stringify(process.version)} && process.arch === ${JSON.stringify(process.arch)};
const file = new URL('gateway-bundle.cjs', import.meta.url);
const source = '(function (exports, require, module) {' + readFileSync(file, 'utf8') + '})';
const script = new vm.Script(source, {filename: file.pathname, cachedData: isSameRelease ? readFileSync(new URL('gateway-bundle.cache', import.meta.url)) : undefined});
const bundle = {exports: {}};
script.runInThisContext()(bundle.exports, createRequire(import.meta.url), bundle);
await bundle.exports.runGateway();
`;

const source = `(function (exports, require, module) {${readFileSync(bundle, 'utf8')}})`;
const script = new vm.Script(source, {filename: bundle});
// Loading the modules compiles the functions that run at that time, so that the cache includes them.
script.runInThisContext()({}, createRequire(import.meta.url), {exports: {}});
writeFileSync(`${folder}/gateway-bundle.cache`, script.createCachedData());
writeFileSync(`${folder}/gateway.mjs`, launcher);
