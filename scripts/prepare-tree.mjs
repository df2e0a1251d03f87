// Prepares a clone: installs the locked libraries if they are missing or do not match the lock file, and compiles. Every
// npm script that runs code calls it first, so that one command is enough on a fresh clone.
import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';

const stampPath = 'node_modules/.savorygauge-lock-digest';
const lockDigest = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex');
const installed = existsSync(stampPath) && readFileSync(stampPath, 'utf8') === lockDigest;
const outputOnFailure = {stdio: ['ignore', 2, 2]};

try {
	if (!installed) {
		execFileSync('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'], outputOnFailure);
		writeFileSync(stampPath, lockDigest);
	}

	execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '--project', '.'], outputOnFailure);
} catch (error) {
	console.error(`prepare-tree: ${error.message}`);
	process.exitCode = 1;
}
