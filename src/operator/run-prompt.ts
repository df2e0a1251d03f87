/** The interactive prompt, which executes lines of the query language, with history and completion. */
import process from 'node:process';
import {createInterface, type Interface} from 'node:readline/promises';
import {completeLine} from '../language/complete-line.js';
import {fieldsOfSource} from '../language/sources.js';
import {type Confirm, type OperatorConsole} from './operator-console.js';

/** The streams of the prompt. */
export type PromptStreams = {
	input: NodeJS.ReadableStream;
	output: NodeJS.WritableStream;
};

const question = 'do this? (yes/no) ';

/**
 * Runs the prompt until `exit` or the end of the input.
 *
 * @param operatorConsole - The console that executes the lines.
 * @param streams - The input and output of the prompt.
 * @returns The exit status of the last line, so that a script that pipes lines in can check it.
 */
export async function runPrompt(operatorConsole: OperatorConsole, streams: PromptStreams): Promise<number> {
	const reader = createInterface({...streams, completer: completeLine, prompt: 'savorygauge> '});
	const lines = reader[Symbol.asyncIterator]();
	const confirm = async (): Promise<boolean> => {
		streams.output.write(question);
		const answer = await lines.next();
		return answer.done !== true && answer.value.trim() === 'yes';
	};

	const status = await readLines({
		operatorConsole, reader, lines, confirm,
	});
	reader.close();
	return status;
}

type PromptContext = {operatorConsole: OperatorConsole; reader: Interface; lines: AsyncIterator<string>; confirm: Confirm};

async function readLines({operatorConsole, reader, lines, confirm}: PromptContext): Promise<number> {
	let status = 0;
	for (;;) {
		reader.prompt();
		const next = await lines.next();
		const line = next.done === true ? 'exit' : next.value.trim();
		if (line === 'exit') {
			return status;
		}

		if (line === 'help') {
			operatorConsole.output.line(`sources: ${Object.keys(fieldsOfSource).join(', ')} [where …] [order by …] [limit …]`);
			operatorConsole.output.line('commands: drain, admit, pause, resume, cancel NAME, move MODEL to VERSION, each with because "reason"');
		} else if (line !== '') {
			status = await operatorConsole.execute(line, confirm);
		}
	}
}

/** Asks for confirmation on the terminal. Without a terminal, nothing is confirmed. */
export function createTerminalConfirm(): Confirm {
	return async () => {
		if (!process.stdin.isTTY) {
			return false;
		}

		const reader = createInterface({input: process.stdin, output: process.stdout});
		const answer = await reader.question(question);
		reader.close();
		return answer.trim() === 'yes';
	};
}
