/**
 * Checks over real gateway processes that instances which are partitioned from all endpoints serve their callers as the others
 * do. Callers, the store and the other instances reach them all the while.
 */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {type ServerResponse} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, deskPaths, startDesk} from './desk-deployment.js';
import {DeskTraffic} from './desk-traffic.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {EndpointLink, type LinkState} from './endpoint-link.js';
import {contactMilliseconds, type GatewayDeployment, type GatewayInstance} from './gateway-deployment.js';
import {linkStateVariable, relaysVariable} from './redirect-endpoint-dials.js';

/**
 * Which instances are partitioned.
 *
 * - `data-centre`: all of the first data centre.
 * - `one-each`: one of each data centre.
 * - `coordinator`: all of the coordinator's data centre.
 * - `two-thirds`: four of six.
 * - `all-but-one`: five of six.
 */
export type PartitionedPart = 'data-centre' | 'one-each' | 'coordinator' | 'two-thirds' | 'all-but-one';

export type PartitionConditions = {
	part: PartitionedPart;
	state: Exclude<LinkState, 'open'>;
	/** How long the first data centre is cut off from the store within the partition; 0 if it is not. */
	storeCutMilliseconds: number;
	requestsPerSecond: number;
	/** Longest time to the head of an answer. */
	answerMilliseconds: number;
};

export type PartitionedInstancesOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	partitionMilliseconds: number;
	/** Conditions that are not drawn from the seed. */
	conditions?: Partial<PartitionConditions>;
};

/** Requests and how many of them were served. */
export type ServedShare = {sent: number; served: number};

export type PartitionedInstancesReport = {
	seed: number;
	conditions: PartitionConditions;
	/** From the contact time after the partition began to its end. */
	partitioned: ServedShare;
	others: ServedShare;
	/** From the contact time after its end, at the instances that had been partitioned. */
	afterwards: ServedShare;
	/** Answers that were not served within the partition, by status. */
	failures: Record<string, number>;
	/** Requests of the path that is sent once which reached endpoints more than once. */
	repeated: string[];
	/** Crashes of endpoints that instances reported; none crashed. */
	reportedCrashes: number;
};

/** Before the partition begins: connections to endpoints are opened. */
const leadMilliseconds = 1500;
/** After the contact time that follows the partition. */
const tailMilliseconds = 1500;
const eventsOfAnswer = 6;
const minAnswerMilliseconds = 5;

export async function runPartitionedInstances(options: PartitionedInstancesOptions): Promise<PartitionedInstancesReport> {
	const run = new PartitionedInstancesRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class PartitionedInstancesRun implements EndpointScript {
	readonly #options: PartitionedInstancesOptions;
	readonly #choices: Choices;
	readonly #conditions: PartitionConditions;
	readonly #deployment: GatewayDeployment;
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'savorygauge-partition-'));
	/** The links of each instance, by its name. */
	readonly #links = new Map<string, EndpointLink[]>();
	readonly #arrivals = new Map<string, number>();
	readonly #answers: Array<{instance: GatewayInstance; sentAt: number; status: number; isServed: boolean}> = [];
	#endpoints: DeploymentEndpoint[] = [];

	constructor(options: PartitionedInstancesOptions) {
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`partitioned instances ${options.seed}`));
		this.#conditions = {...drawConditions(this.#choices), ...options.conditions};
		this.#deployment = deskDeployment(options.network, instance => ({

			NODE_OPTIONS: `--import ${new URL('redirect-endpoint-dials.js', import.meta.url).href}`,
			[relaysVariable]: this.#relaysFile(instance),
			[linkStateVariable]: this.#stateFile(instance),
		}));
	}

	async start(): Promise<void> {
		const addresses = this.#deployment.dataCentres.flatMap((_, index) => [1, 2].map(number => this.#deployment.endpointAddress(index + 1, number)));
		for (const instance of this.#deployment.instanceNames()) {
			const links = addresses.map(address => new EndpointLink(address));
			this.#links.set(instance, links);
			const relays = await Promise.all(links.map(async link => link.listen()));
			writeFileSync(this.#relaysFile(instance), JSON.stringify(Object.fromEntries(addresses.map((address, index) => [address, relays[index]]))));
			writeFileSync(this.#stateFile(instance), 'open' satisfies LinkState);
		}

		this.#endpoints = await startDesk(this.#deployment, this);
	}

	async play(): Promise<PartitionedInstancesReport> {
		const {partitionMilliseconds} = this.#options;
		const beganAt = performance.now() + leadMilliseconds;
		const endedAt = beganAt + partitionMilliseconds;
		const sending = new DeskTraffic(this.#deployment, this.#choices, (answer, instance, sentAt) => {
			this.#answers.push({
				instance, sentAt, status: answer.status, isServed: answer.status === 200 && answer.isWhole,
			});
		}).sendUntil(endedAt + contactMilliseconds + tailMilliseconds, this.#conditions.requestsPerSecond);
		await delay(leadMilliseconds);
		const partitioned = this.#partitionedInstances();
		this.#setLinks(partitioned, this.#conditions.state);
		const cutting = this.#conditions.storeCutMilliseconds > 0 ? this.#deployment.cutStore(this.#deployment.dataCentres[0]!, this.#conditions.storeCutMilliseconds) : undefined;
		await delay(partitionMilliseconds);
		this.#setLinks(partitioned, 'open');
		await Promise.all([sending, cutting]);
		const within = this.#answers.filter(({sentAt}) => sentAt >= beganAt + contactMilliseconds && sentAt < endedAt);
		const isPartitioned = ({instance}: {instance: GatewayInstance}): boolean => partitioned.includes(instance);
		return {
			seed: this.#options.seed,
			conditions: this.#conditions,
			partitioned: shareOf(within.filter(answer => isPartitioned(answer))),
			others: shareOf(within.filter(answer => !isPartitioned(answer))),
			afterwards: shareOf(this.#answers.filter(answer => answer.sentAt >= endedAt + contactMilliseconds && isPartitioned(answer))),
			failures: countByStatus(within.filter(({isServed}) => !isServed)),
			repeated: [...this.#arrivals].filter(([key, count]) => key.startsWith(deskPaths[0]) && count > 1).map(([key]) => key),
			reportedCrashes: this.#deployment.lines().filter(({kind, verdict}) => kind === 'connections-lost' && verdict === 'crashed').length,
		};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		for (const links of this.#links.values()) {
			for (const link of links) {
				link.close();
			}
		}

		await this.#deployment.stop();
	}

	arrived({target, body}: Arrival): void {
		const key = `${target} ${body}`;
		this.#arrivals.set(key, (this.#arrivals.get(key) ?? 0) + 1);
	}

	headers(): Record<string, string> {
		return {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		await delay(this.#choices.between(minAnswerMilliseconds, this.#conditions.answerMilliseconds));
		await endpoint.answer(response, arrival, eventsOfAnswer);
	}

	#partitionedInstances(): GatewayInstance[] {
		const {dataCentres, instances} = this.#deployment;
		const coordinatorsDataCentre = this.#deployment.coordinator()?.dataCentre;
		switch (this.#conditions.part) {
			case 'data-centre': {
				return instances.filter(({dataCentre}) => dataCentre === dataCentres[0]);
			}

			case 'one-each': {
				return dataCentres.map(name => instances.find(({dataCentre}) => dataCentre === name)!);
			}

			case 'coordinator': {
				return instances.filter(({dataCentre}) => dataCentre === coordinatorsDataCentre);
			}

			case 'two-thirds': {
				return instances.filter(({dataCentre}) => dataCentre !== dataCentres[2]);
			}

			case 'all-but-one': {
				return instances.slice(1);
			}
		}
	}

	#setLinks(instances: readonly GatewayInstance[], state: LinkState): void {
		for (const {name} of instances) {
			writeFileSync(this.#stateFile(name), state);
			for (const link of this.#links.get(name) ?? []) {
				link.set(state);
			}
		}
	}

	#relaysFile(instance: string): string {
		return path.join(this.#folder, `${instance}-relays.json`);
	}

	#stateFile(instance: string): string {
		return path.join(this.#folder, `${instance}-state`);
	}
}

function shareOf(answers: ReadonlyArray<{isServed: boolean}>): ServedShare {
	return {sent: answers.length, served: answers.filter(({isServed}) => isServed).length};
}

function countByStatus(answers: ReadonlyArray<{status: number}>): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {status} of answers) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	return counts;
}

function drawConditions(choices: Choices): PartitionConditions {
	return {
		part: choices.oneOf(['data-centre', 'one-each', 'coordinator', 'two-thirds', 'all-but-one']),
		state: choices.oneOf(['reset', 'hang', 'refuse']),
		storeCutMilliseconds: choices.oneOf([0, 0, 6000]),
		requestsPerSecond: choices.oneOf([20, 40]),
		answerMilliseconds: choices.oneOf([60, 60, 400]),
	};
}
