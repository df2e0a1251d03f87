/**
 * Checks the specifications in model/ exhaustively with the model checker spin. Each specification has mutants: the same
 * file with one safeguard removed by a define. A check that accepts a mutant proves nothing, so an accepted mutant counts
 * as a failure too.
 */
import {execFileSync} from 'node:child_process';
import {
	copyFile, mkdir, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const modelFolder = fileURLToPath(new URL('../../model', import.meta.url));
/** The largest search takes half a minute on an idle processor and can take many times that on a busy one. */
const timeoutMilliseconds = 300_000;
const maxDepth = 1_000_000;
const memoryLimitMegabytes = 3000;

/** A specification or one of its mutants. */
export type ModelCase = {
	model: string;
	/** The define that removes a safeguard; empty for the specification itself. */
	broken: string;
};

/** The result of a search by spin. A search that is not complete proves nothing, even if it found no error. */
export type ModelResult = ModelCase & {
	errors: number;
	states: number;
	isComplete: boolean;
	milliseconds: number;
	/** The assertion that was violated; empty if there is none. */
	violation: string;
};

export const modelCases: readonly ModelCase[] = [
	{model: 'claim', broken: ''},
	{model: 'claim', broken: 'BROKEN'},
	{model: 'configuration', broken: ''},
	{model: 'configuration', broken: 'BROKEN'},
	{model: 'cache-block', broken: ''},
	{model: 'cache-block', broken: 'BROKEN'},
	{model: 'fenced-order', broken: ''},
	{model: 'fenced-order', broken: 'BROKEN'},
	{model: 'fenced-order', broken: 'BROKEN_WAIT'},
	{model: 'duty-lease', broken: ''},
	{model: 'duty-lease', broken: 'BROKEN'},
	{model: 'duty-lease', broken: 'BROKEN_LEASE'},
	{model: 'duty-lease', broken: 'BROKEN_WRITE'},
	{model: 'stream', broken: ''},
	{model: 'stream', broken: 'BROKEN'},
];

/**
 * Checks one case.
 *
 * @param modelCase - The specification or mutant.
 * @param now - Returns the current time in milliseconds.
 * @param outputFolder - The folder that the counter-example of a mutant is written to; not written by default.
 * @returns The result of the search.
 */
export async function checkModel(modelCase: ModelCase, now: () => number, outputFolder?: string): Promise<ModelResult> {
	const folder = await mkdtemp(path.join(tmpdir(), 'savorygauge-model-'));
	const startedAt = now();
	const options = {
		cwd: folder, timeout: timeoutMilliseconds, maxBuffer: 16_777_216, encoding: 'utf8' as const,
	};
	try {
		const file = `${modelCase.model}.pml`;
		const defines = modelCase.broken === '' ? [] : [`-D${modelCase.broken}`];
		await copyFile(path.join(modelFolder, file), path.join(folder, file));
		execFileSync('spin', [...defines, '-a', file], options);
		execFileSync('gcc', ['-w', '-O2', '-DSAFETY', `-DMEMLIM=${memoryLimitMegabytes}`, '-o', 'pan', 'pan.c'], options);
		const stdout = execFileSync('./pan', ['-E', `-m${maxDepth}`], options);
		if (outputFolder !== undefined && modelCase.broken !== '') {
			const replayed = execFileSync('spin', [...defines, '-t', '-p', '-g', file], options);
			await saveCounterExample(modelCase, outputFolder, replayed);
		}

		return {...modelCase, ...parseSearchOutput(stdout), milliseconds: now() - startedAt};
	} finally {
		await rm(folder, {recursive: true});
	}
}

/** Returns true if the specification holds in all states, or if the mutant was rejected. */
export function isAsExpected({broken, errors, isComplete}: ModelResult): boolean {
	return broken === '' ? errors === 0 && isComplete : errors > 0;
}

function parseSearchOutput(output: string): Pick<ModelResult, 'errors' | 'states' | 'isComplete' | 'violation'> {
	const numberAfter = (pattern: RegExp): number => Number(pattern.exec(output)?.groups?.number ?? Number.NaN);
	const isCut = output.includes('Search not completed') || output.includes('max search depth too small') || output.includes('out of memory');
	return {
		errors: numberAfter(/errors: (?<number>\d+)/v),
		states: numberAfter(/(?<number>[\d.e+]+) states, stored/v),
		isComplete: !isCut,
		violation: /pan:1: (?<violation>.*) \(at depth/v.exec(output)?.groups?.violation ?? '',
	};
}

async function saveCounterExample({model, broken}: ModelCase, folder: string, trail: string): Promise<void> {
	await mkdir(folder, {recursive: true});
	await writeFile(path.join(folder, `${model}-${broken.toLowerCase()}.txt`), trail);
}

/** The folder of the committed counter-examples. */
export const counterExampleFolder = path.join(modelFolder, 'counter-examples');
