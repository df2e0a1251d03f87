/**
 * Starts the processes of a demo or a test as child processes, and stops exactly those that it started. A process is ready
 * when it has printed its first line, which is JSON.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const readyTimeoutMilliseconds = 20_000;
const stopTimeoutMilliseconds = 5000;

/** The JSON line that a process prints when it is ready. */
export type ReadyLine = Record<string, string | boolean>;

/** One started process. */
export type StartedProcess = {
	child: ChildProcess;
	ready: ReadyLine;
	/** Lines on standard output after the ready line. */
	lines: string[];
};

/** Thrown when a process ends before it is ready, or is not ready in time. */
export class ProcessStartError extends Error {
	override readonly name = 'ProcessStartError';
}

export class ProcessGroup {
	readonly #started: StartedProcess[] = [];
	/** All running children, also those that are not ready yet. */
	readonly #children = new Set<ChildProcess>();
	#isStopped = false;

	/** The number of started processes. */
	get size(): number {
		return this.#started.length;
	}

	/**
	 * Starts a program of the build and waits until it is ready.
	 *
	 * @param program - Its path below the build folder, for example `entry/main.js`.
	 * @param options - Its arguments, and environment variables in addition to the inherited ones.
	 * @returns The process.
	 * @throws `ProcessStartError` if it is not ready in time, or the group is stopped before.
	 */
	async start(program: string, options: {arguments: readonly string[]; environment?: Record<string, string>}): Promise<StartedProcess> {
		if (this.#isStopped) {
			throw new ProcessStartError(`${program} was not started: the group is stopped`);
		}

		const path = fileURLToPath(new URL(`../${program}`, import.meta.url));
		const child = spawn(process.execPath, [path, ...options.arguments], {
			stdio: ['ignore', 'pipe', 'inherit'], env: {...process.env, ...options.environment},
		});
		this.#children.add(child);
		const reader = createInterface({input: child.stdout});
		const lines: string[] = [];
		const timeout = AbortSignal.timeout(readyTimeoutMilliseconds);
		const ended = new AbortController();
		child.once('exit', () => {
			this.#children.delete(child);
			ended.abort();
		});
		try {
			const [line] = await once(reader, 'line', {signal: AbortSignal.any([timeout, ended.signal])}) as [string];
			reader.on('line', next => {
				lines.push(next);
			});
			const started = {child, ready: JSON.parse(line) as ReadyLine, lines};
			this.#started.push(started);
			return started;
		} catch {
			child.kill('SIGKILL');
			throw new ProcessStartError(`${program} ${options.arguments.join(' ')} did not become ready`);
		}
	}

	/** Stops all processes, and kills those that do not exit in time. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all([...this.#children].map(async child => stopChild(child)));
	}
}

async function stopChild(child: ChildProcess): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	const exited = once(child, 'exit');
	child.kill('SIGTERM');
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, stopTimeoutMilliseconds);
	await exited;
	clearTimeout(timer);
}
