/** What happens to the instances and endpoints of a deployment beside changes of its configuration. */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type StartedProcess} from '../demo/process-group.js';
import {type Choices} from './choices.js';
import {type DeploymentEndpoint} from './deployment-endpoint.js';
import {type GatewayDeployment, type GatewayInstance, graceMilliseconds} from './gateway-deployment.js';

/** The disturbances; the first four are set up when a run starts. */
export const disturbances = [
	/** Prompts with one block, under which endpoints end as they begin to answer. */
	'crashing-block',
	/** Most new connections are sent to the first instance, three times as many as usual. */
	'one-instance',
	/** A fifth of the callers end their sending side after each request. */
	'half-closes',
	/** One instance reaches no endpoint, and goes through the others. */
	'relayed',
	/** No instance reaches the store. */
	'store-away',
	'kills',
	'terminations',
	'hangups',
	/** Endpoints fall silent, one after the other, and go on. */
	'silence',
	/** The first instance runs for a fifth of the time. */
	'short-of-processor',
] as const;
export type Disturbance = (typeof disturbances)[number];

/** What is disturbed, and how. */
export type DisturbanceOptions = {
	names: readonly Disturbance[];
	deployment: GatewayDeployment;
	endpoints: readonly DeploymentEndpoint[];
	choicesFor: (name: Disturbance) => Choices;
};

const silenceMilliseconds = [800, 1900] as const;
const storeAwayMilliseconds = [1000, 4000] as const;
/** For how long an instance that is short of processor time runs, and for how long it then stands still. */
const rhythms = [{runs: 20, pauses: 80}, {runs: 100, pauses: 400}] as const;
/** By then the load balancer sends an instance that is stopping no new connections. */
const unreadyMilliseconds = 2000;
/** Of the grace period, in whose last part an instance may end what has not finished. */
const graceShare = 5 / 6;

export class DeploymentDisturbances {
	readonly #options: DisturbanceOptions;
	readonly #stoppingSince = new Map<StartedProcess, number>();
	#endsAt = 0;

	constructor(options: DisturbanceOptions) {
		this.#options = options;
	}

	has(name: Disturbance): boolean {
		return this.#options.names.includes(name);
	}

	/** Whether the load balancer sends new connections to an instance. */
	isInRotation(instance: GatewayInstance, now: number): boolean {
		return now - (this.#stoppingSince.get(instance.process) ?? now) < unreadyMilliseconds;
	}

	/** Whether a process was killed, or the grace period of one that was to stop was nearly over. */
	wasEnded(process: StartedProcess, at: number): boolean {
		const stoppingSince = this.#stoppingSince.get(process);
		return stoppingSince === undefined ? process.child.killed : at - stoppingSince >= graceMilliseconds * graceShare;
	}

	/** Whether an instance is short of processor time, and reads late. */
	isSlow(instance: GatewayInstance): boolean {
		return this.has('short-of-processor') && instance === this.#options.deployment.instances[0];
	}

	/** Disturbs the deployment until a time of `performance.now()`. */
	async runUntil(endsAt: number): Promise<void> {
		this.#endsAt = endsAt;
		await Promise.all(this.#options.names.map(async name => this.#disturb(name)));
	}

	async #disturb(name: Disturbance): Promise<void> {
		const choices = this.#options.choicesFor(name);
		const {deployment, endpoints} = this.#options;
		const {instances, dataCentres} = deployment;
		switch (name) {
			case 'crashing-block':
			case 'one-instance':
			case 'half-closes':
			case 'relayed': {
				return;
			}

			case 'store-away': {
				await this.#repeat(() => choices.between(500, 2000), async () => {
					const milliseconds = choices.between(...storeAwayMilliseconds);
					await Promise.all(dataCentres.map(async dataCentre => deployment.cutStore(dataCentre, milliseconds)));
				});
				return;
			}

			case 'kills': {
				await this.#repeat(() => choices.between(1000, 2500), async () => deployment.restart(choices.oneOf(instances)));
				return;
			}

			case 'terminations': {
				await this.#repeat(() => choices.between(200, 800), async () => {
					const instance = choices.oneOf(instances);
					this.#stoppingSince.set(instance.process, performance.now());
					await deployment.restart(instance, 'SIGTERM');
				});
				return;
			}

			case 'hangups': {
				await this.#repeat(() => choices.between(100, 500), async () => {
					signal(choices.oneOf(instances), 'SIGHUP');
				});
				return;
			}

			case 'silence': {
				await this.#repeat(() => choices.between(100, 400), async () => {
					const milliseconds = choices.between(...silenceMilliseconds);
					choices.oneOf(endpoints).fallSilent(milliseconds);
					await delay(milliseconds);
				});
				return;
			}

			case 'short-of-processor': {
				await this.#slowDown(instances[0]!, choices.oneOf(rhythms));
			}
		}
	}

	async #slowDown(instance: GatewayInstance, {runs, pauses}: (typeof rhythms)[number]): Promise<void> {
		await this.#repeat(() => runs, async () => {
			signal(instance, 'SIGSTOP');
			await delay(pauses);
			signal(instance, 'SIGCONT');
		});
	}

	async #repeat(pauseOf: () => number, step: () => Promise<void>): Promise<void> {
		while (performance.now() < this.#endsAt) {
			await delay(pauseOf());
			await step();
		}
	}
}

/** Sends a signal that does not end the process, which `ChildProcess.kill` would note as its end. */
function signal({process: {child}}: GatewayInstance, name: 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void {
	if (child.pid !== undefined && child.exitCode === null && child.signalCode === null) {
		process.kill(child.pid, name);
	}
}
