/**
 * The slots of endpoints that the coordinator grants, so that all instances together send an endpoint no more than it can run.
 *
 * The coordinator knows the requests in flight that the instances report, and the granted slots that they hold. A grant counts here
 * until its instance has received it.
 */

/** In an earlier release: from the answer with a grant until its request is in flight and appears in the reports. */
const sendMilliseconds = 50;
/** An instance that does not report any more has lost its connection, or sends its request no more. */
const maxPendingMilliseconds = 1000;

/** What the report of an instance says of its slots. */
export type SlotReport = {answered: number; countsHeldSlots: boolean};

type PendingGrant = {instance: string; number: number; grantedAt: number};

export class SlotGrants {
	readonly #pending = new Map<string, PendingGrant[]>();

	/**
	 * Grants a slot if one is free.
	 *
	 * @param query - The endpoint and its slots, and the instance with the number of its query.
	 * @param requests - Requests in flight at the endpoint by the instances' reports.
	 * @param now - Milliseconds of the steady clock.
	 */
	take({endpoint, slots, ...asked}: {endpoint: string; slots: number; instance: string; number: number}, requests: number, now: number): boolean {
		const pending = (this.#pending.get(endpoint) ?? []).filter(({grantedAt}) => now - grantedAt < maxPendingMilliseconds);
		const isGranted = requests + pending.length < slots;
		if (isGranted) {
			pending.push({...asked, grantedAt: now});
		}

		if (pending.length > 0) {
			this.#pending.set(endpoint, pending);
		} else {
			this.#pending.delete(endpoint);
		}

		return isGranted;
	}

	/**
	 * Removes the grants whose requests appear in an instance's reports from now on.
	 *
	 * @param instance - The instance.
	 * @param report - Number of the last query whose answer it had received, and whether its loads include the slots that it holds.
	 * @param now - Milliseconds of the steady clock.
	 */
	noteReport(instance: string, {answered, countsHeldSlots}: SlotReport, now: number): void {
		const minAge = countsHeldSlots ? 0 : sendMilliseconds;
		for (const [endpoint, pending] of this.#pending) {
			const left = pending.filter(grant => grant.instance !== instance || grant.number > answered || now - grant.grantedAt < minAge);
			if (left.length > 0) {
				this.#pending.set(endpoint, left);
			} else {
				this.#pending.delete(endpoint);
			}
		}
	}
}
