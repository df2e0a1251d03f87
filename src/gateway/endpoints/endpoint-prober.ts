/**
 * Tries to connect to endpoints that could not be reached, so that no caller's request has to find out whether they are back. A
 * data centre that is cut off would otherwise cost each instance one request for each of its endpoints whenever their circuits
 * close.
 */
import {type Child} from '../../supervisor/supervisor.js';
import {type GatewayContext} from '../gateway-context.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {probeConnection} from './probe-connection.js';

/** Interval between two checks for due probes. */
const checkIntervalMilliseconds = 200;

type ProberContext = Pick<GatewayContext, 'clock' | 'placement' | 'endpoints' | 'log' | 'metrics'>;

export class EndpointProber implements Child {
	readonly name = 'endpoint-prober';
	readonly #context: ProberContext;
	readonly #inFlight = new Set<string>();
	/** Number of unreachable endpoints that was logged last. */
	#reported = 0;

	constructor(context: ProberContext) {
		this.#context = context;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, placement} = this.#context;
		while (!signal.aborted) {
			for (const endpoint of placement.dueProbes(clock.moment().steady)) {
				if (!this.#inFlight.has(endpoint.name)) {
					this.#inFlight.add(endpoint.name);
					void this.#probe(endpoint);
				}
			}

			this.#report();
			await clock.sleep(checkIntervalMilliseconds, signal);
		}
	}

	async #probe(endpoint: EndpointRecord): Promise<void> {
		const isReached = await probeConnection(endpoint.address) === 'accepted';
		this.#inFlight.delete(endpoint.name);
		this.#context.placement.noteProbe(endpoint, isReached, this.#context.clock.moment().steady);
	}

	/** Logs how many of the listed endpoints are unreachable: an instance that reaches none is cut off, whatever each failed attempt says. */
	#report(): void {
		const {placement, endpoints, log, metrics} = this.#context;
		const listed = endpoints.all();
		const names = new Set(placement.unreachable().map(({name}) => name));
		const unreachable = listed.filter(({name}) => names.has(name)).length;
		if (unreachable !== this.#reported) {
			this.#reported = unreachable;
			metrics.unreachableEndpoints.set(unreachable);
			log.record('endpoints-unreachable', {unreachable, listed: listed.length});
		}
	}
}
