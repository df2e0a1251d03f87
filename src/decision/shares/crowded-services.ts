/** What one instance knows of congested services by the coordinator's last response, and what it decides by that. */
import {acceptsAttempt} from './accepts-attempt.js';
import {type CrowdedService, type ShareReason} from './service-demand.js';

/** How long a response is used, counted from the sending of its query. */
export const fractionValidityMilliseconds = 1500;

/** A call that its workspace's share may refuse. */
export type SharedCall = {attemptId: string; service: string; rank: number; workspace: string};

/** Why a call is refused, and by which inputs. */
export type ShareRefusal = {
	reason: ShareReason;
	fraction: number;
	/** Age of the response, in milliseconds. */
	ageMilliseconds: number;
	crowded: CrowdedService;
};

export class CrowdedServices {
	#services: ReadonlyMap<string, CrowdedService> = new Map();
	#queriedAt = Number.NEGATIVE_INFINITY;

	/** Replaces what is known by a response to a query that was sent at `queriedAt`; an older response changes nothing. */
	apply(crowded: readonly CrowdedService[], queriedAt: number): void {
		if (queriedAt >= this.#queriedAt) {
			this.#queriedAt = queriedAt;
			this.#services = new Map(crowded.map(each => [each.service, each]));
		}
	}

	/** What is known of a service; `undefined` if it is not crowded, or if nothing recent is known. */
	stateOf(service: string, now: number): CrowdedService | undefined {
		return now - this.#queriedAt > fractionValidityMilliseconds ? undefined : this.#services.get(service);
	}

	/** Whether a service is congested by a recent response. */
	isCongested(service: string, now: number): boolean {
		return this.stateOf(service, now)?.isCongested ?? false;
	}

	/** Returns why a call is refused; `undefined` if it is accepted, or if nothing recent is known. */
	refusalOf({attemptId, service, rank, workspace}: SharedCall, now: number): ShareRefusal | undefined {
		const crowded = this.stateOf(service, now);
		const row = crowded?.fractions.find(([ofRank, ofWorkspace]) => ofRank === rank && ofWorkspace === workspace);
		if (crowded === undefined || row === undefined) {
			return undefined;
		}

		const fraction = row[2];
		return acceptsAttempt(attemptId, fraction)
			? undefined
			: {
				reason: row[3], fraction, ageMilliseconds: now - this.#queriedAt, crowded,
			};
	}
}
