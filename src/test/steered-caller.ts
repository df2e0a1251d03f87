/** A caller in a separate thread whose every step a test decides, so that the order of its bytes and its end is fixed. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {afterNextPoll} from '../serving/after-next-poll.js';

/** `half-close` ends the sending side only and reads on; `close` closes the connection in order; `reset` resets it. */
export type CallerEnd = 'half-close' | 'close' | 'reset';

const answerTimeoutMilliseconds = 2000;

const workerSource = `
	const {parentPort, workerData: {port, sent}} = require('node:worker_threads');
	const {connect} = require('node:net');
	const socket = connect({port, host: '127.0.0.1', noDelay: true});
	let answer = '';
	socket.on('connect', () => parentPort.postMessage({connected: true}));
	socket.on('error', () => {});
	socket.on('data', chunk => {
		answer += chunk.toString('latin1');
		parentPort.postMessage({answer});
	});
	socket.on('close', () => parentPort.postMessage({answer, closed: true}));
	const confirm = () => {
		Atomics.add(sent, 0, 1);
		Atomics.notify(sent, 0);
		parentPort.postMessage({confirmed: true});
	};

	parentPort.on('message', ({bytes, end}) => {
		if (end === 'half-close') {
			socket.end(bytes, confirm);
			return;
		}

		socket.write(bytes, () => {
			if (end === 'close') {
				socket.destroy();
			} else if (end === 'reset') {
				socket.resetAndDestroy();
			}

			// The connection's handle is closed by the end of this turn.
			setImmediate(confirm);
		});
	});
`;

export class SteeredCaller {
	/** Connects to `IP:port`; the server has accepted the connection when this resolves. */
	static async connect(address: string): Promise<SteeredCaller> {
		const caller = new SteeredCaller(address);
		await once(caller.#worker, 'message');
		await afterNextPoll();
		return caller;
	}

	/** All bytes that the caller has received. */
	answer = '';
	readonly #worker: Worker;
	readonly #sent: Int32Array;
	#steps = 0;
	#isClosed = false;

	private constructor(address: string) {
		this.#sent = new Int32Array(new SharedArrayBuffer(4));
		this.#worker = new Worker(workerSource, {eval: true, workerData: {port: Number(address.split(':')[1]), sent: this.#sent}});
		this.#worker.on('message', ({answer, closed}: {answer?: string; closed?: boolean}) => {
			this.answer = answer ?? this.answer;
			this.#isClosed ||= closed ?? false;
		});
	}

	/** Sends bytes and ends the connection if told so. The event loop has read all of it when this resolves. */
	async send(bytes: string, end?: CallerEnd): Promise<void> {
		this.#post(bytes, end);
		while (Atomics.load(this.#sent, 0) < this.#steps) {
			await once(this.#worker, 'message');
		}

		await afterNextPoll();
	}

	/** Like `send`, but the event loop stands still until all has been sent, and for at least the given time. */
	sendDuringLag(bytes: string, end: CallerEnd | undefined, lagMilliseconds: number): void {
		const startedAt = performance.now();
		this.#post(bytes, end);
		for (;;) {
			const sent = Atomics.load(this.#sent, 0);
			const remaining = startedAt + lagMilliseconds - performance.now();
			if (sent >= this.#steps && remaining <= 0) {
				return;
			}

			Atomics.wait(this.#sent, 0, sent, sent >= this.#steps ? remaining : undefined);
		}
	}

	/** Resolves with all received bytes when they satisfy a condition, when the connection has closed, or after 2 s. */
	async answerUntil(isEnough: (answer: string) => boolean): Promise<string> {
		const timeout = AbortSignal.timeout(answerTimeoutMilliseconds);
		try {
			while (!this.#isClosed && !isEnough(this.answer)) {
				await once(this.#worker, 'message', {signal: timeout});
			}
		} catch {
			// What has arrived until now is judged by the test.
		}

		return this.answer;
	}

	/** Whether its connection has closed. */
	get isClosed(): boolean {
		return this.#isClosed;
	}

	async stop(): Promise<void> {
		await this.#worker.terminate();
	}

	#post(bytes: string, end: CallerEnd | undefined): void {
		this.#steps++;
		this.#worker.postMessage({bytes, end});
	}
}

const interimAnswer = /^HTTP\/1\.1 1\d\d [^\r]*\r\n(?:[^\r]+\r\n)*\r\n/v;

/** Returns the complete answers at the start of received bytes, without interim ones; an answer that is cut off is not among them. */
export function completeAnswers(received: string): string[] {
	const answers: string[] = [];
	let rest = received;
	for (;;) {
		while (interimAnswer.test(rest)) {
			rest = rest.replace(interimAnswer, '');
		}

		const headEnd = rest.indexOf('\r\n\r\n') + 4;
		const head = rest.slice(0, headEnd);
		const length = /^content-length: (?<length>\d+)/imv.exec(head)?.groups?.length;
		const lastChunk = /\r\n0+\r\n\r\n/v.exec(rest.slice(headEnd - 2));
		const end = length === undefined ? headEnd - 2 + (lastChunk === null ? Number.POSITIVE_INFINITY : lastChunk.index + lastChunk[0].length) : headEnd + Number(length);
		const isWhole = headEnd >= 4 && rest.length >= end;
		if (!isWhole) {
			return answers;
		}

		answers.push(rest.slice(0, end));
		rest = rest.slice(end);
	}
}
