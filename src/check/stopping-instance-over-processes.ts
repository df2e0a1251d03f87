/**
 * Checks over a real gateway process that a planned stop loses no request: whatever an instance has read and passed on is answered
 * before its process ends, also if it arrived late.
 */
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {DeploymentEndpoint, type Arrival, type EndpointScript} from './deployment-endpoint.js';
import {deploymentWireNames as names, GatewayDeployment, host} from './gateway-deployment.js';

/** One request, as its caller and the endpoints saw it. */
export type StopOutcome = {
	name: string;
	/** The status of a complete answer; 0 if the connection ended without one. */
	status: number;
	/** Whether it reached an endpoint. */
	hasArrived: boolean;
};

const service = 'desk';
const uploadBytes = 20_000;
/** When the last bytes of an upload are sent, after the signal. */
const uploadEnds = [500, 1500, 2000, 3000, 4000, 5000, 6000, 6500, 7000, 7300];
const workMilliseconds = [300, 2500];
/** Requests that take longer than the grace, and when they are sent after the signal. */
const longWorkMilliseconds = 9000;
const longStarts = [0, 1000, 2000];
const settleMilliseconds = 300;
const deadlineMilliseconds = 12_000;

/** @param network - Second byte of the loopback addresses. */
export async function runStoppingInstance(network: number): Promise<{outcomes: StopOutcome[]; exitMilliseconds: number}> {
	const run = new StoppingInstanceRun(network);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class StoppingInstanceRun implements EndpointScript {
	readonly #deployment: GatewayDeployment;
	readonly #endpoints: DeploymentEndpoint[];
	readonly #arrived = new Set<string>();

	constructor(network: number) {
		const route = {
			host, timeout_ms: 10_000, target_latency_ms: 600, gap_aim_ms: 0, service,
		};
		this.#deployment = new GatewayDeployment({
			network,
			dataCentres: 1,
			instancesPerDataCentre: 1,
			routes: [
				{
					...route, name: 'booking', prefix: '/booking/', kind: 'non_idempotent', max_attempts: 1,
				},
				{
					...route, name: 'lookup', prefix: '/lookup/', kind: 'idempotent', max_attempts: 2,
				},
			],
			services: [{name: service}],
		});
		this.#endpoints = [1, 2].map(number => new DeploymentEndpoint(this.#deployment, {
			dataCentre: 'centre-1', address: this.#deployment.endpointAddress(1, number), service, slots: 64,
		}, this));
	}

	async start(): Promise<void> {
		await Promise.all(this.#endpoints.map(async endpoint => endpoint.start()));
		await this.#deployment.start();
	}

	async play(): Promise<{outcomes: StopOutcome[]; exitMilliseconds: number}> {
		const instance = this.#deployment.instances[0]!;
		const {child} = instance.process;
		const uploads = uploadEnds.flatMap(endsAt => workMilliseconds.flatMap(work => ['booking', 'lookup'].map(route => ({endsAt, path: `/${route}/${work}`}))));
		const open = await Promise.all(uploads.map(async upload => ({...upload, socket: await this.#connect(instance.address)})));
		for (const {socket, path, endsAt} of open) {
			socket.write(headOf(path, nameOf(path, endsAt)));
			socket.write('x'.repeat(uploadBytes / 2));
		}

		await delay(settleMilliseconds);
		const stoppedAt = performance.now();
		child.kill('SIGTERM');
		const exited = once(child, 'exit');
		const outcomes = await Promise.all([
			...open.map(async ({socket, path, endsAt}) => this.#finishUpload(socket, path, endsAt)),
			...longStarts.flatMap(startsAt => ['booking', 'lookup'].map(async route => this.#sendLong(instance.address, `/${route}/${longWorkMilliseconds}`, startsAt))),
		]);
		await exited;
		return {outcomes, exitMilliseconds: Math.round(performance.now() - stoppedAt)};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	arrived({body}: Arrival): void {
		this.#arrived.add(body.slice(0, body.indexOf('|')));
	}

	headers(): Record<string, string> {
		return {};
	}

	async run(_endpoint: DeploymentEndpoint, {target}: Arrival, response: ServerResponse): Promise<void> {
		await delay(Number(target.split('/').at(-1)));
		response.writeHead(200, {[names.attemptId]: String(response.req.headers[names.attemptId]), [names.seal]: 'seal', 'content-length': '2'});
		response.end('ok');
	}

	async #connect(address: string): Promise<Socket> {
		const separator = address.lastIndexOf(':');
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true});
		socket.on('error', () => {
			// The close of the connection follows.
		});
		await Promise.race([once(socket, 'connect'), once(socket, 'close')]);
		return socket;
	}

	async #finishUpload(socket: Socket, path: string, endsAt: number): Promise<StopOutcome> {
		const name = nameOf(path, endsAt);
		const answer = readAnswer(socket);
		await delay(endsAt);
		socket.write(`${name}|`.padStart(uploadBytes / 2, 'x'));
		return {name, status: await answer, hasArrived: this.#hasArrived(name)};
	}

	async #sendLong(address: string, path: string, startsAt: number): Promise<StopOutcome> {
		await delay(startsAt);
		const name = nameOf(path, startsAt);
		const socket = await this.#connect(address);
		const answer = readAnswer(socket);
		socket.write(headOf(path, name));
		socket.write(`${name}|`.padStart(uploadBytes, 'x'));
		return {name, status: await answer, hasArrived: this.#hasArrived(name)};
	}

	#hasArrived(name: string): boolean {
		return [...this.#arrived].some(text => text.endsWith(name));
	}
}

function nameOf(path: string, milliseconds: number): string {
	return `${path} at ${milliseconds};`;
}

function headOf(path: string, name: string): string {
	return [`POST ${path} HTTP/1.1`, `host: ${host}`, `${names.attemptId}: ${name.replaceAll(/[^\w]/gv, '-')}`, `${names.deadline}: ${deadlineMilliseconds}`, `content-length: ${uploadBytes}`, '', ''].join('\r\n');
}

/** The status of a complete answer with a length; 0 if the connection ends without one. */
async function readAnswer(socket: Socket): Promise<number> {
	let text = '';
	socket.setEncoding('latin1').on('data', (bytes: string) => {
		text += bytes;
		if (lengthMissing(text) === 0) {
			socket.end();
		}
	});
	await once(socket, 'close');
	return lengthMissing(text) === 0 ? Number(text.slice('HTTP/1.1 '.length, 'HTTP/1.1 200'.length)) : 0;
}

function lengthMissing(text: string): number {
	const end = text.indexOf('\r\n\r\n');
	const length = /content-length: (?<length>\d+)/iv.exec(text)?.groups?.length;
	return end === -1 ? 1 : Math.max(0, end + 4 + Number(length ?? 0) - text.length);
}

/** The exit of the process, at the latest. */

export {graceMilliseconds as latestExitMilliseconds} from './gateway-deployment.js';
