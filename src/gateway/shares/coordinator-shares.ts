/**
 * The coordinator's part in workspace shares: it sums the demand that its followers report, and answers which services are
 * congested. The standby has no such part, so no second instance computes fractions by another sum.
 */
import {ServiceShares} from '../../decision/shares/service-shares.js';
import {type CrowdedService, type ServiceDemand} from '../../decision/shares/service-demand.js';
import {type ConfigurationView} from '../configuration/configuration-view.js';
import {type EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {type Evacuations} from '../endpoints/evacuations.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';
import {ShareOfWorkspaces} from './share-of-workspaces.js';

export type CoordinatorSharesDependencies = {
	configuration: Pick<ConfigurationView, 'current'>;
	endpoints: Pick<EndpointRegistry, 'usable'>;
	evacuations: Pick<Evacuations, 'isEvacuated'>;
	log: Pick<DecisionLog, 'record'>;
	metrics: Pick<GatewayMetrics, 'requestedPerSecond' | 'capacityPerSecond'>;
};

/** What a response contains: nothing while no service is crowded. */
export type CrowdedField = {crowded?: CrowdedService[]};

export class CoordinatorShares {
	readonly #dependencies: CoordinatorSharesDependencies;
	readonly #shares: ServiceShares;
	readonly #configured = new ShareOfWorkspaces();
	/** When services became congested, in milliseconds of the steady clock. */
	readonly #congestedSince = new Map<string, number>();
	#reported: readonly CrowdedService[] = [];
	#now = 0;

	constructor(dependencies: CoordinatorSharesDependencies) {
		this.#dependencies = dependencies;
		const {configuration, endpoints, evacuations} = dependencies;
		this.#shares = new ServiceShares({
			slotsOf: service => endpoints.usable(service, this.#now, ({dataCentre}) => !evacuations.isEvacuated(dataCentre)).reduce((sum, {slots}) => sum + slots, 0),
			shareOf: workspace => this.#configured.of(workspace, configuration.current?.grants),
		});
	}

	/** Adds what a follower has counted since its last frame; a frame without demand counts as observed time. */
	note(demand: readonly ServiceDemand[] | undefined, now: number): void {
		this.#shares.note(demand ?? [], now);
	}

	/** What a response says about crowded services. */
	answer(now: number): CrowdedField {
		this.#now = now;
		this.#report(this.#shares.states(now), now);
		const crowded = this.#shares.crowded(now);
		return crowded.length === 0 ? {} : {crowded};
	}

	/** Forgets all counts: this instance does not serve followers any more. */
	reset(): void {
		this.#shares.reset();
		if (this.#reported.length > 0) {
			const {requestedPerSecond, capacityPerSecond} = this.#dependencies.metrics;
			requestedPerSecond.reset();
			capacityPerSecond.reset();
		}

		this.#congestedSince.clear();
		this.#reported = [];
	}

	#report(states: readonly CrowdedService[], now: number): void {
		if (states === this.#reported) {
			return;
		}

		this.#reported = states;
		const {metrics, log} = this.#dependencies;
		for (const {service, isCongested, requestedPerSecond, capacityPerSecond, largestUse, fractions} of states) {
			metrics.requestedPerSecond.set({service}, requestedPerSecond);
			metrics.capacityPerSecond.set({service}, capacityPerSecond);
			const since = this.#congestedSince.get(service);
			if (isCongested && since === undefined) {
				this.#congestedSince.set(service, now);
				log.record('service-congested', {
					service, requestedPerSecond, capacityPerSecond, largestUse, beyondShare: fractions.length,
				});
			} else if (!isCongested && since !== undefined) {
				this.#congestedSince.delete(service);
				log.record('congestion-ended', {
					service, requestedPerSecond, capacityPerSecond, milliseconds: Math.round(now - since),
				});
			}
		}
	}
}
