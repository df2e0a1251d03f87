/**
 * Exchanges state through the coordinator, and through its standby where the coordinator does not answer.
 *
 * While the coordinator is paused or has failed, no other instance may acquire its lease for some seconds, since it may still
 * send orders to stores. The cached blocks of engines and the loads of instances are hints, which the standby may serve
 * meanwhile: without them every returning prompt is prefilled again, at engines that look idle to all instances at once.
 */
import {type SlotAnswer, type SlotSource} from '../limits/brittle-services.js';
import {type PermitSource} from '../limits/endpoint-limits.js';
import {type CoordinatorClient} from './coordinator-client.js';
import {type PermitAnswer, type PermitQuery, type PlacementQuery} from './coordinator-messages.js';
import {type PeerUpdates} from './local-follower.js';

/** One of the instances that state is exchanged through. */
export type PeerUpdateSource = Pick<CoordinatorClient, 'refresh' | 'takePermit' | 'takeSlot' | 'report' | 'isConnected' | 'isResponsive' | 'grantsSlots' | 'instances'>;

export class PeerUpdateSources implements PeerUpdates, PermitSource, SlotSource {
	readonly #coordinator: PeerUpdateSource;
	readonly #standby: PeerUpdateSource;
	readonly #sources: readonly PeerUpdateSource[];
	readonly #now: () => number;

	/** @param now - Returns milliseconds of a steady clock. */
	constructor(coordinator: PeerUpdateSource, standby: PeerUpdateSource, now: () => number) {
		this.#now = now;
		this.#coordinator = coordinator;
		this.#standby = standby;
		this.#sources = [coordinator, standby];
	}

	async refresh(query: PlacementQuery, maxMilliseconds: number): Promise<void> {
		const endsAt = this.#now() + maxMilliseconds;
		for (const source of this.#sources) {
			if (await source.refresh(query, endsAt - this.#now())) {
				return;
			}
		}
	}

	/**
	 * Asks the coordinator only. A standby does not know what the coordinator grants to the instances that reach it, so that both
	 * together would grant twice the limit.
	 */
	async takePermit(permit: PermitQuery): Promise<PermitAnswer | undefined> {
		return this.#coordinator.takePermit(permit);
	}

	/**
	 * Asks the coordinator, and the standby only where the coordinator grants no slots. The standby grants no more than the parts of
	 * the instances that have reported so.
	 */
	async takeSlot(endpoint: string, slots: number): Promise<SlotAnswer> {
		const answer = await this.#coordinator.takeSlot(endpoint, slots);
		return answer === 'unavailable' ? this.#standby.takeSlot(endpoint, slots) : answer;
	}

	get instances(): number {
		return this.#coordinator.instances;
	}

	report(): void {
		if (this.#coordinator.isResponsive) {
			this.#coordinator.report();
		}

		const needsStandby = !this.#coordinator.isResponsive || !this.#coordinator.grantsSlots;
		if (needsStandby && this.#standby.isConnected) {
			this.#standby.report();
		}
	}
}
