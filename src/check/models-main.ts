/** `npm run check:models`: checks all specifications and their mutants. `--keep` rewrites the counter-example files. */
import process from 'node:process';
import {Command} from 'commander';
import {
	checkModel, counterExampleFolder, isAsExpected, modelCases,
} from './models.js';

const command = new Command('check:models').option('--keep', 'write the mutants\' counter-examples into model/counter-examples').parse();
const {keep}: {keep?: boolean} = command.opts();
const startedAt = performance.now();
let wrong = 0;
for (const modelCase of modelCases) {
	const result = await checkModel(modelCase, () => performance.now(), keep ? counterExampleFolder : undefined);
	const name = `${result.model}${result.broken === '' ? '' : ` without its safeguard (${result.broken})`}`;
	const verdict = result.errors === 0 ? 'holds' : `rejected: ${result.violation}`;
	const completeness = result.isComplete ? '' : ', search not completed';
	wrong += isAsExpected(result) ? 0 : 1;
	console.log(`${isAsExpected(result) ? 'ok   ' : 'WRONG'} ${name}: ${verdict}, ${result.states} states${completeness}, ${Math.round(result.milliseconds)} ms`);
}

console.log(`${modelCases.length} checks, ${wrong} wrong, ${Math.round((performance.now() - startedAt) / 1000)} s`);
process.exitCode = wrong === 0 ? 0 : 1;
