/**
 * Opens connections to endpoints for instances that cannot reach them. It only forwards bytes: the instance that got the
 * request places it, retries it and counts it, and a relay connects to endpoints itself, so that no request passes two relays.
 *
 * It connects to listed endpoints only, and answers nobody who does not know the instances' key.
 */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {connectEndpoint} from '../endpoints/connect-endpoint.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {isSameKey} from '../../shared/is-same-key.js';
import {type Child} from '../../supervisor/supervisor.js';
import {PeerListener} from '../peers/peer-listener.js';
import {forwardBytes} from './forward-bytes.js';
import {type OpenFrame, type RelayFrame} from './relay-messages.js';

export type RelayServerDependencies = {
	/** `IP:port` to listen at. */
	address: string;
	/** All listed endpoints. */
	endpoints: () => readonly EndpointRecord[];
	/** What all instances share; `undefined` while this one does not know it. */
	key: () => string | undefined;
	/** How late this process reads its sockets, in milliseconds. */
	lagMilliseconds: () => number;
	/** Whether this instance may connect to an endpoint itself, as far as it knows. */
	hasDirectPath: (endpoint: EndpointRecord) => boolean;
	/** Called with the outcome of each request for a connection. */
	onOutcome: (outcome: 'opened' | (RelayFrame & {kind: 'declined'})['reason']) => void;
	/** Called when this instance could not connect to an endpoint either. */
	onUnreachable: (endpoint: EndpointRecord) => void;
	connect?: typeof connectEndpoint;
};

/**
 * Connections that are relayed at a time. Each takes two descriptors of a process and a share of its processor: where most
 * instances are cut off, the few others reject what they cannot carry.
 */
const maxConnections = 256;
/** A process that reads its sockets later than this has no processor time left for others. */
const maxLagMilliseconds = 300;
/** The request's own instance closes the connection at its deadline; this is for one that has lost its power. */
const closeMarginMilliseconds = 1000;
const maxLifetimeMilliseconds = 600_000;

export class RelayServer implements Child {
	readonly name = 'relay';
	readonly #dependencies: RelayServerDependencies;
	readonly #listener: PeerListener;
	/** The connections of other instances that are relayed to an endpoint. */
	readonly #relayed = new Set<Socket>();

	constructor(dependencies: RelayServerDependencies) {
		this.#dependencies = dependencies;
		this.#listener = new PeerListener({
			address: dependencies.address,
			allowHalfOpen: true,
			accept: (socket, noteOpened) => {
				this.#accept(socket, noteOpened);
			},
		});
	}

	/** Connections that are relayed at present. */
	get connections(): number {
		return this.#relayed.size;
	}

	/** Resolves when no connection is relayed. */
	async idle(): Promise<void> {
		for (const socket of this.#relayed) {
			await new Promise(resolve => {
				socket.once('close', resolve);
			});
		}
	}

	async run(signal: AbortSignal): Promise<void> {
		await this.#listener.run(signal);
	}

	#accept(socket: Socket, noteOpened: () => void): void {
		const reader = new FrameReader();
		const end = (): void => {
			socket.destroy();
		};

		const receive = (bytes: Uint8Array): void => {
			reader.read(Buffer.from(bytes)).caseOf({
				Left: end,
				Right: ([frame, ...others]) => {
					if (frame === undefined) {
						return;
					}

					noteOpened();
					socket.off('data', receive).off('end', end);
					if (others.length > 0 || !this.#isPermitted(frame)) {
						end();
						return;
					}

					void this.#open(socket, frame);
				},
			});
		};

		socket.on('data', receive).on('end', end);
	}

	#isPermitted(frame: unknown): frame is OpenFrame {
		const key = this.#dependencies.key();
		const open = (frame ?? {}) as Partial<OpenFrame>;
		return key !== undefined && open.kind === 'open' && typeof open.key === 'string' && typeof open.address === 'string' && typeof open.remainingMilliseconds === 'number'
			&& isSameKey(open.key, key);
	}

	async #open(socket: Socket, {address, remainingMilliseconds}: OpenFrame): Promise<void> {
		const {endpoints, lagMilliseconds, hasDirectPath, onOutcome, onUnreachable, connect = connectEndpoint} = this.#dependencies;
		const decline = (reason: (RelayFrame & {kind: 'declined'})['reason']): void => {
			onOutcome(reason);
			socket.end(encodeFrame({kind: 'declined', reason} satisfies RelayFrame));
		};

		const endpoint = endpoints().find(listed => listed.address === address);
		if (endpoint === undefined) {
			decline('unlisted');
			return;
		}

		if (!hasDirectPath(endpoint)) {
			decline('cut-off');
			return;
		}

		if (this.#relayed.size >= maxConnections || lagMilliseconds() > maxLagMilliseconds) {
			decline('busy');
			return;
		}

		this.#relayed.add(socket);
		socket.once('close', () => {
			this.#relayed.delete(socket);
		});
		socket.pause();
		const onward = await connect(address);
		if (onward === 'reset') {
			// The endpoint can be reached, and has no room for another connection.
			decline('silent');
			return;
		}

		if (typeof onward === 'string') {
			onUnreachable(endpoint);
			decline(onward);
			return;
		}

		if (socket.destroyed) {
			onward.destroy();
			return;
		}

		onOutcome('opened');
		socket.write(encodeFrame({kind: 'opened'} satisfies RelayFrame));
		const timer = setTimeout(() => {
			socket.destroy();
		}, Math.min(maxLifetimeMilliseconds, Math.max(0, remainingMilliseconds) + closeMarginMilliseconds));
		socket.once('close', () => {
			clearTimeout(timer);
		});
		forwardBytes(socket, onward);
	}
}
