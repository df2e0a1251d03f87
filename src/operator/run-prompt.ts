/** The interactive prompt: one line of the query language after the other, with history and completion. */
import process from 'node:process';
import {createInterface, type Interface} from 'node:readline/promises';
import {completeLine} from '../language/complete-line.js';
import {fieldsOfSource} from '../language/sources.js';
import {type Confirm, type Desk} from './desk.js';

/** Where the prompt reads and writes. */
export type PromptStreams = {
	input: NodeJS.ReadableStream;
	output: NodeJS.WritableStream;
};

const question = 'do this? (yes/no) ';

/**
 * Runs the prompt until `exit` or the end of the input.
 *
 * @param desk - Carries out the lines.
 * @param streams - Where to read and write.
 * @returns The exit status: that of the last line, so that a script of lines can be checked.
 */
export async function runPrompt(desk: Desk, streams: PromptStreams): Promise<number> {
	const reader = createInterface({...streams, completer: completeLine, prompt: 'savorygauge> '});
	const lines = reader[Symbol.asyncIterator]();
	const confirm = async (): Promise<boolean> => {
		streams.output.write(question);
		const answer = await lines.next();
		return answer.done !== true && answer.value.trim() === 'yes';
	};

	const status = await readLines({
		desk, reader, lines, confirm,
	});
	reader.close();
	return status;
}

type PromptParts = {desk: Desk; reader: Interface; lines: AsyncIterator<string>; confirm: Confirm};

async function readLines({desk, reader, lines, confirm}: PromptParts): Promise<number> {
	let status = 0;
	for (;;) {
		reader.prompt();
		const next = await lines.next();
		const line = next.done === true ? 'exit' : next.value.trim();
		if (line === 'exit') {
			return status;
		}

		if (line === 'help') {
			desk.output.line(`read: ${Object.keys(fieldsOfSource).join(', ')} [where …] [order by …] [limit …]`);
			desk.output.line('act: drain, admit, pause, resume, cancel NAME, move MODEL to VERSION, each with because "reason"');
		} else if (line !== '') {
			status = await desk.ask(line, confirm);
		}
	}
}

/** Asks on the terminal; without one nobody can confirm. */
export function confirmerOf(): Confirm {
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
