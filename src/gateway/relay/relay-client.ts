/** Connects to endpoints through other instances. */
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type ProbeResult} from '../endpoints/probe-connection.js';
import {type RelayDirectory} from './relay-directory.js';
import {type RelayRefusal} from './relay-messages.js';
import {RelayDeclinedError, RelayedSocket} from './relayed-socket.js';

export type RelayClientDependencies = {
	clock: MomentClock;
	directory: RelayDirectory;
	/** What all instances share; `undefined` while this one does not know it. */
	key: () => string | undefined;
	/** Returns a random number from 0 up to 1. */
	random: () => number;
};

type RelayOptions = {attempted?: Set<string>; isAllowed?: (dataCentre: string) => boolean};

/** Timeout of a probe: the relay's own connection attempt, and the way to the relay. */
const probeMilliseconds = 400;
/** Relays that are asked in turn whether they reach an endpoint. */
const maxProbedRelays = 3;

export class RelayClient {
	readonly #dependencies: RelayClientDependencies;

	constructor(dependencies: RelayClientDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Starts to connect to an endpoint through a relay.
	 *
	 * @param endpoint - The endpoint.
	 * @param remainingMilliseconds - How long the connection may be needed.
	 * @param options - `attempted`: relays that are not used, to which the chosen one is added; `isAllowed`: whether a relay in a data centre may be used.
	 * @returns The connection; `undefined` without a relay.
	 */
	connect(endpoint: EndpointRecord, remainingMilliseconds: number, {attempted = new Set(), isAllowed}: RelayOptions = {}): RelayedSocket | undefined {
		const {clock, directory, key: currentKey, random} = this.#dependencies;
		const key = currentKey();
		const relay = key === undefined ? undefined : directory.choose(clock.moment().steady, random, attempted, isAllowed);
		if (key === undefined || relay === undefined) {
			return undefined;
		}

		attempted.add(relay);
		const socket = new RelayedSocket(relay, {
			kind: 'open', key, address: endpoint.address, remainingMilliseconds,
		});
		socket.on('error', error => {
			// A relay that answers for an endpoint is of use for others; one without room or links is left out as if it did not answer.
			if (!socket.hasConnected && !(error instanceof RelayDeclinedError && isAboutEndpoint(error.reason))) {
				directory.noteFailed(relay, clock.moment().steady);
			}
		});
		return socket;
	}

	/** Finds out whether an endpoint can be reached through a relay; `undefined` if no relay could say. */
	async probe(endpoint: EndpointRecord): Promise<ProbeResult | undefined> {
		const attempted = new Set<string>();
		let result: ProbeResult | undefined;
		for (let relay = 0; relay < maxProbedRelays && result !== 'accepted'; relay++) {
			const socket = this.connect(endpoint, probeMilliseconds, {attempted});
			if (socket === undefined) {
				return result;
			}

			result = await probeThrough(socket) ?? result;
		}

		return result;
	}
}

function isAboutEndpoint(reason: RelayRefusal): boolean {
	return reason === 'refused' || reason === 'silent' || reason === 'unlisted';
}

async function probeThrough(socket: RelayedSocket): Promise<ProbeResult | undefined> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			socket.destroy(new Error('no answer of the relay in time'));
		}, probeMilliseconds);
		const end = (result: ProbeResult | undefined): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(result);
		};

		socket.once('connect', () => {
			end('accepted');
		});
		socket.once('error', error => {
			end(error instanceof RelayDeclinedError && (error.reason === 'refused' || error.reason === 'silent') ? error.reason : undefined);
		});
	});
}
