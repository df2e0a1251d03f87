/** Callers of a check that keep their connections to the instances open between requests. */
import {randomBytes} from 'node:crypto';
import {
	type CallerAnswer, type CallerRequest, deploymentWireNames as names, type GatewayInstance, host, instanceHeader,
} from './gateway-deployment.js';
import {KeptCaller} from './kept-caller.js';

/** An answer on a kept connection. */
export type KeptAnswer = CallerAnswer & {
	/** Whether the instance closed the connection, which had been idle, as the request was on its way. */
	crossedClose: boolean;
};

/** How long a close may be on its way. */
const crossingMilliseconds = 100;

export class KeptCallers {
	/** Callers without a running request, by instance. */
	readonly #free = new Map<string, KeptCaller[]>();
	readonly #all = new Set<KeptCaller>();

	/** Sends one request, on the connection that was idle for the shortest time. */
	async send({name, address}: GatewayInstance, {path, body, deadlineMilliseconds, headers}: CallerRequest): Promise<KeptAnswer> {
		const free = this.#free.get(name) ?? [];
		this.#free.set(name, free);
		const caller = free.pop() ?? new KeptCaller();
		this.#all.add(caller);
		const sentAt = performance.now();
		const {status, isWhole, body: received, isKept, endedAt} = await caller.send({
			address,
			path,
			headers: {
				host, [names.attemptId]: randomBytes(8).toString('hex'), [names.deadline]: String(deadlineMilliseconds), [instanceHeader]: name, ...headers,
			},
			pieces: [body],
			pauseMilliseconds: 0,
			statesLength: true,
			halfCloses: false,
			giveUpMilliseconds: deadlineMilliseconds,
		});
		free.push(caller);
		return {
			status, isWhole, body: received, retryAfterSeconds: undefined, crossedClose: status === 0 && isKept && endedAt - sentAt < crossingMilliseconds,
		};
	}

	close(): void {
		for (const caller of this.#all) {
			caller.close();
		}
	}
}
