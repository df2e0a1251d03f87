/**
 * Hands new connections to instances as the platform does: to those of the caller's data centre whose readiness check has not
 * failed twice in a row, and, while they are skewed, most of them to one of these.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Choices} from './choices.js';
import {type GatewayDeployment, type GatewayInstance} from './gateway-deployment.js';

/** Whose new connections are skewed: those of callers in the first data centre, or of all. */
export type SkewScope = 'data-centre' | 'all';

const checkMilliseconds = 1000;
const maxMisses = 2;
const skewedPercent = 90;

export class LoadBalancer {
	readonly #deployment: GatewayDeployment;
	readonly #choices: Choices;
	readonly #misses = new Map<string, number>();
	readonly #stop = new AbortController();
	#scope: SkewScope | undefined;
	#target: GatewayInstance | undefined;

	constructor(deployment: GatewayDeployment, choices: Choices) {
		this.#deployment = deployment;
		this.#choices = choices;
	}

	/** The instance that gets most of the new connections. */
	get target(): GatewayInstance | undefined {
		return this.#target;
	}

	/** Checks the instances until it is closed. */
	async run(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			await Promise.all([
				delay(checkMilliseconds),
				...this.#deployment.instances.map(async instance => {
					const isReady = await this.#deployment.isReady(instance, checkMilliseconds);
					this.#misses.set(instance.name, isReady ? 0 : (this.#misses.get(instance.name) ?? 0) + 1);
				}),
			]);
			if (this.#target !== undefined && !this.#isIn(this.#target)) {
				this.moveTarget();
			}
		}
	}

	close(): void {
		this.#stop.abort();
	}

	/** Begins to skew new connections, or ends it. */
	skew(scope: SkewScope | undefined): void {
		this.#scope = scope;
		this.#target = undefined;
		if (scope !== undefined) {
			this.moveTarget();
		}
	}

	/** Lets another instance get most of the new connections. */
	moveTarget(): void {
		const [first = ''] = this.#deployment.dataCentres;
		const candidates = this.#scope === 'all' ? this.#inRotation(this.#deployment.instances) : this.#inRotationOf(first);
		const others = candidates.filter(instance => instance !== this.#target);
		this.#target = this.#choices.oneOf(others.length === 0 ? candidates : others);
	}

	/** The instance that gets a new connection of a caller in a data centre. */
	instanceFor(dataCentre: string): GatewayInstance {
		const isAffected = this.#scope === 'all' || dataCentre === this.#deployment.dataCentres[0];
		return this.#target !== undefined && isAffected && this.#choices.chance(skewedPercent) ? this.#target : this.#choices.oneOf(this.#inRotationOf(dataCentre));
	}

	/** Another instance than those that a caller has met. */
	otherThan(met: readonly GatewayInstance[]): GatewayInstance {
		const others = this.#inRotation(this.#deployment.instances).filter(instance => !met.includes(instance));
		return this.#choices.oneOf(others.length === 0 ? this.#deployment.instances : others);
	}

	#inRotationOf(dataCentre: string): readonly GatewayInstance[] {
		return this.#inRotation(this.#deployment.instances.filter(instance => instance.dataCentre === dataCentre));
	}

	/** Where fewer than half are in rotation, all are used. */
	#inRotation(instances: readonly GatewayInstance[]): readonly GatewayInstance[] {
		const inRotation = instances.filter(instance => this.#isIn(instance));
		return inRotation.length * 2 < instances.length ? instances : inRotation;
	}

	#isIn({name}: GatewayInstance): boolean {
		return (this.#misses.get(name) ?? 0) < maxMisses;
	}
}
