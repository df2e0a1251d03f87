/** A worker process of the slopes benchmark, seen from the benchmark. It handles one command at a time. */
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {type WorkerResponse, type WorkerCommand} from './worker-messages.js';

const workerPath = fileURLToPath(new URL('worker.js', import.meta.url));

export class WorkerProcess {
	readonly #child: ChildProcess = fork(workerPath, {execArgv: ['--expose-gc'], serialization: 'advanced'});
	#last: Promise<unknown> = Promise.resolve();

	/** Sends a command and resolves with its response. Commands are queued and sent one after the other. */
	async request<Kind extends WorkerResponse['kind']>(command: WorkerCommand, _expected: Kind): Promise<Extract<WorkerResponse, {kind: Kind}>> {
		const answer = this.#last.then(async () => {
			const next = once(this.#child, 'message');
			this.#child.send(command);
			const [message] = await next as [WorkerResponse];
			return message;
		});
		this.#last = answer;
		return await answer as Extract<WorkerResponse, {kind: Kind}>;
	}

	/** Kills the process and waits for its end. */
	async stop(): Promise<void> {
		const ended = once(this.#child, 'exit');
		this.#child.kill('SIGKILL');
		await ended;
	}
}
