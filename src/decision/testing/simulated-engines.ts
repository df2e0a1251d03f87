/**
 * Simulated engines that prefill the prompts they admit one after the other, and one instance that places prompts on
 * them.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {CostPlacement} from '../placement/cost-placement.js';
import {noLoad} from '../placement/endpoint-load.js';
import {type PlacementBasis, type PlacementRequest} from '../placement/placement.js';

type InFlightPrompt = {endsAt: number; request: PlacementRequest; endpoint: EndpointRecord};

export class SimulatedEngines {
	readonly #policy: CostPlacement;
	readonly #engines: readonly EndpointRecord[];
	readonly #freeAt = new Map<string, number>();
	#inFlight: InFlightPrompt[] = [];

	/**
	 * @param dataCentre - Data centre of the instance.
	 * @param engines - The engines.
	 */
	constructor(dataCentre: string, engines: readonly EndpointRecord[]) {
		this.#policy = new CostPlacement(dataCentre, () => noLoad);
		this.#engines = engines;
	}

	/**
	 * Places a prompt.
	 *
	 * @param request - The prompt.
	 * @param now - Milliseconds; never less than in an earlier call.
	 * @param workAt - How long an engine works on it, in milliseconds, by what was decided to be fetched and prefilled.
	 * @returns Milliseconds to its first token; `undefined` if it is refused.
	 */
	send(request: PlacementRequest, now: number, workAt: (endpoint: EndpointRecord, basis: PlacementBasis) => number): number | undefined {
		this.#finish(now);
		const placement = this.#policy.place(request, this.#engines, now);
		if (placement.kind === 'none') {
			return undefined;
		}

		const {endpoint, basis} = placement;
		this.#policy.observe({
			kind: 'sent', request, endpoint, basis,
		}, now);
		const endsAt = Math.max(now, this.#freeAt.get(endpoint.name) ?? 0) + workAt(endpoint, basis);
		this.#freeAt.set(endpoint.name, endsAt);
		this.#inFlight.push({endsAt, request, endpoint});
		return endsAt - now;
	}

	#finish(now: number): void {
		for (const {endsAt, request, endpoint} of this.#inFlight.filter(({endsAt: at}) => at <= now)) {
			this.#policy.observe({
				kind: 'answered', request, endpoint, load: undefined,
			}, endsAt);
			this.#policy.observe({
				kind: 'ended', request, endpoint, outcome: 'whole',
			}, endsAt);
		}

		this.#inFlight = this.#inFlight.filter(({endsAt}) => endsAt > now);
	}
}
