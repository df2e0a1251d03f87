// Puts the compiled gateway and its libraries into one file, `gateway.mjs` in the folder given. Node keeps the text and the
// links of each module that it loads; a single one takes less memory and starts sooner. Names are kept for stack traces.
import process from 'node:process';
import {buildSync} from 'esbuild';

const [folder] = process.argv.slice(2);
if (folder === undefined) {
	throw new Error('usage: node scripts/bundle-gateway.mjs FOLDER');
}

buildSync({
	entryPoints: [`${folder}/gateway/main.js`],
	outfile: `${folder}/gateway.mjs`,
	bundle: true,
	platform: 'node',
	target: 'node20.20',
	format: 'esm',
	minifySyntax: true,
	minifyWhitespace: true,
	// Libraries in the older module format call `require`, which a module of the newer one has to make for itself.
	banner: {js: 'import {createRequire as createBundleRequire} from "node:module"; const require = createBundleRequire(import.meta.url);'},
	logLevel: 'warning',
});
