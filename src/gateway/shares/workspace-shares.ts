/**
 * An instance's part in workspace shares: it counts its calls for the coordinator, and refuses calls of workspaces that request
 * more than their share by the coordinator's last response. Where the configuration gives no workspace a weight, a floor or a
 * ceiling, nothing is counted, sent or refused.
 */
import {CrowdedServices, type ShareRefusal, type SharedCall} from '../../decision/shares/crowded-services.js';
import {DemandCounter} from '../../decision/shares/demand-counter.js';
import {type CrowdedService, type ServiceDemand} from '../../decision/shares/service-demand.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';

type Dependencies = {
	clock: Pick<MomentClock, 'moment'>;
	metrics: Pick<GatewayMetrics, 'shareRefusals'>;
	/** Whether an operator has configured a share of any workspace. */
	isConfigured: () => boolean;
};

export class WorkspaceShares {
	readonly #dependencies: Dependencies;
	readonly #counter = new DemandCounter();
	readonly #crowded = new CrowdedServices();

	constructor(dependencies: Dependencies) {
		this.#dependencies = dependencies;
	}

	/** Counts a call that has arrived; returns why it is refused, or `undefined` if it is not. */
	arrive(call: SharedCall): ShareRefusal | undefined {
		if (!this.#dependencies.isConfigured()) {
			return undefined;
		}

		const now = this.#now();
		this.#counter.noteRequested(call, now);
		const refusal = this.#crowded.refusalOf(call, now);
		if (refusal !== undefined) {
			this.#dependencies.metrics.shareRefusals.inc({service: call.service, rank: call.rank, reason: refusal.reason});
		}

		return refusal;
	}

	/** Whether a service is congested, so that calls of others are refused in favour of those that are accepted. */
	isCongested(service: string): boolean {
		return this.#dependencies.isConfigured() && this.#crowded.isCongested(service, this.#now());
	}

	/** Counts a call that an endpoint accepted and that has ended, and for how many milliseconds it held a slot. */
	noteEnded(call: SharedCall, heldMilliseconds: number): void {
		if (this.#dependencies.isConfigured()) {
			this.#counter.noteEnded(call, heldMilliseconds, this.#now());
		}
	}

	/** Returns what was counted since the last frame to the coordinator. */
	takeDemand(): ServiceDemand[] {
		return this.#counter.take(this.#now());
	}

	/** Takes what the coordinator has responded to a query that was sent at `queriedAt`, in milliseconds of the steady clock. */
	applyCrowded(crowded: readonly CrowdedService[], queriedAt: number): void {
		this.#crowded.apply(crowded, queriedAt);
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}
