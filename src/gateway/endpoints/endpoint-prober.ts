/**
 * Tries to connect to endpoints that could not be reached, so that no caller's request has to find out whether they are back. A
 * data centre that is cut off would otherwise cost each instance one request for each of its endpoints whenever their circuits
 * close.
 */
import {connect} from 'node:net';
import {type Child} from '../../supervisor/supervisor.js';
import {type GatewayContext} from '../gateway-context.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** Interval between two checks for due probes. */
const checkIntervalMilliseconds = 200;
/** Timeout of a probe; a request's connection has the same one. */
const connectTimeoutMilliseconds = 250;

export class EndpointProber implements Child {
	readonly name = 'endpoint-prober';
	readonly #context: Pick<GatewayContext, 'clock' | 'placement'>;
	readonly #inFlight = new Set<string>();

	constructor(context: Pick<GatewayContext, 'clock' | 'placement'>) {
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

			await clock.sleep(checkIntervalMilliseconds, signal);
		}
	}

	async #probe(endpoint: EndpointRecord): Promise<void> {
		const isReached = await isReachable(endpoint.address);
		this.#inFlight.delete(endpoint.name);
		this.#context.placement.noteProbe(endpoint, isReached, this.#context.clock.moment().steady);
	}
}

async function isReachable(address: string): Promise<boolean> {
	const separator = address.lastIndexOf(':');
	return new Promise(resolve => {
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
		const end = (isReached: boolean): void => {
			socket.destroy();
			resolve(isReached);
		};

		socket.setTimeout(connectTimeoutMilliseconds, () => {
			// In a process that was paused, the connection may be established as well, and timers run before its event.
			setImmediate(end, false);
		});
		socket.once('connect', () => {
			end(true);
		});
		socket.once('error', () => {
			end(false);
		});
	});
}
