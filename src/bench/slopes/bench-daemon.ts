/**
 * The control part of one entry without its data path: peers over TCP, and endpoints whose load reports are generated
 * here, so that only the processor time and bytes of control are measured.
 */
import {systemClock} from '../../adapters/system-clock.js';
import {stateOfSnapshot} from '../../peer/configuration/configuration-snapshot.js';
import {PeerService} from '../../peer/link/peer-service.js';
import {seededRandom} from '../../peer/random/seeded-random.js';
import {hashOfText} from '../../peer/ownership/rendezvous.js';
import {type ConfigurationChange, type ListedInstance} from '../../shared/types.js';
import {busyReport} from '../bench-reports.js';
import {VirtualConfiguration} from '../virtual-peers.js';

export class BenchDaemon {
	readonly configuration = new VirtualConfiguration(() => systemClock.now());
	readonly service: PeerService;
	readonly #name: string;
	readonly #dataCentre: string;
	readonly #stop = new AbortController();
	readonly #random: () => number;
	readonly #reportsPerSecond: number;

	/**
	 * @param name - Name of the instance.
	 * @param dataCentre - Data centre of the instance.
	 * @param reportsPerSecond - Load reports a second of each owned endpoint.
	 */
	constructor(name: string, dataCentre: string, reportsPerSecond: number) {
		this.#name = name;
		this.#dataCentre = dataCentre;
		this.#reportsPerSecond = reportsPerSecond;
		this.#random = seededRandom(hashOfText(name));
		this.service = new PeerService({
			instance: name,
			dataCentre,
			listenAddress: '127.0.0.1:0',
			secret: 'secret of the bench',
			clock: systemClock,
			random: this.#random,
			fanoutMode: 'announce',
			configuration: this.configuration,
			listener: {
				loadsReceived: () => undefined,
				snapshotOffered: snapshot => {
					const state = stateOfSnapshot(snapshot);
					if (state !== undefined && state.version > this.configuration.state.version) {
						this.configuration.apply(state);
						return true;
					}

					return false;
				},
				memberChanged: () => undefined,
				ownershipChanged: () => undefined,
			},
		});
	}

	/** Starts the daemon; resolves with its entry in the platform's list. */
	async start(): Promise<ListedInstance> {
		const peerAddress = await this.service.listen();
		void this.service.run(this.#stop.signal);
		void this.#report();
		return {
			name: this.#name, role: 'entry', dataCentre: this.#dataCentre, service: '', address: peerAddress, peerAddress, state: 'live',
		};
	}

	/** Applies and announces a change as if it had been read from the table. */
	accept(change: ConfigurationChange): void {
		if (this.configuration.offerChange(change) === undefined) {
			this.service.announceChange(change);
		}
	}

	/** Stops the daemon: its links break, and it doesn't announce its end. */
	stop(): void {
		this.#stop.abort();
	}

	async #report(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			for (const name of this.service.node.loadGossip.owned()) {
				this.service.handleReport(name, busyReport(this.#random));
			}

			await systemClock.sleep(1000 / this.#reportsPerSecond, this.#stop.signal);
		}
	}
}
