/** One worker of the slopes bench as the bench sees it: it answers one order at a time. */
import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {type WorkerAnswer, type WorkerOrder} from './worker-messages.js';

const workerPath = fileURLToPath(new URL('worker.js', import.meta.url));

export class WorkerProcess {
	readonly #child: ChildProcess = fork(workerPath, {execArgv: ['--expose-gc'], serialization: 'advanced'});
	#last: Promise<unknown> = Promise.resolve();

	/** Gives an order and its answer; orders are answered in turn. */
	async ask<Kind extends WorkerAnswer['kind']>(order: WorkerOrder, _expected: Kind): Promise<Extract<WorkerAnswer, {kind: Kind}>> {
		const answer = this.#last.then(async () => {
			const next = once(this.#child, 'message');
			this.#child.send(order);
			const [message] = await next as [WorkerAnswer];
			return message;
		});
		this.#last = answer;
		return await answer as Extract<WorkerAnswer, {kind: Kind}>;
	}

	/** Ends the process. */
	async stop(): Promise<void> {
		const ended = once(this.#child, 'exit');
		this.#child.kill('SIGKILL');
		await ended;
	}
}
