/** Leaves a process a share of its processor time: it is stopped and continued in a steady rhythm, without other limits. */
import {type ChildProcess} from 'node:child_process';

const periodMilliseconds = 40;

export class ThrottledProcess {
	readonly #child: ChildProcess;
	readonly #share: number;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * Starts to throttle.
	 *
	 * @param child - The process.
	 * @param share - Share of each period in which it runs, above 0 and below 1.
	 */
	constructor(child: ChildProcess, share: number) {
		this.#child = child;
		this.#share = share;
		this.#stop();
	}

	/** Lets the process run on. */
	end(): void {
		clearTimeout(this.#timer);
		this.#child.kill('SIGCONT');
	}

	#stop(): void {
		this.#child.kill('SIGSTOP');
		this.#timer = setTimeout(() => {
			this.#continue();
		}, periodMilliseconds * (1 - this.#share));
	}

	#continue(): void {
		this.#child.kill('SIGCONT');
		this.#timer = setTimeout(() => {
			this.#stop();
		}, periodMilliseconds * this.#share);
	}
}
