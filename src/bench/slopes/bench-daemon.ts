/**
 * The control part of one entry without its data path: peers over TCP, and endpoints whose reports are made up here, so
 * that processor time and bytes are those of control alone.
 */
import {systemClock} from '../../adapters/system-clock.js';
import {stateOfSnapshot} from '../../peer/configuration/configuration-snapshot.js';
import {PeerService} from '../../peer/link/peer-service.js';
import {seededRandom} from '../../peer/random/seeded-random.js';
import {hashOfText} from '../../peer/ownership/rendezvous.js';
import {type ConfigurationChange, type ListedInstance} from '../../shared/types.js';
import {busyReport} from '../bench-reports.js';
import {VirtualKeeper} from '../virtual-peers.js';

export class BenchDaemon {
	readonly keeper = new VirtualKeeper(() => systemClock.now());
	readonly service: PeerService;
	readonly #name: string;
	readonly #dataCentre: string;
	readonly #stop = new AbortController();
	readonly #random: () => number;
	readonly #reportsPerSecond: number;

	/**
	 * @param name - Of the instance.
	 * @param dataCentre - Its data centre.
	 * @param reportsPerSecond - How often each owned endpoint reports.
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
			configuration: this.keeper,
			listener: {
				loadsReceived: () => undefined,
				snapshotOffered: snapshot => {
					const state = stateOfSnapshot(snapshot);
					if (state !== undefined && state.version > this.keeper.state.version) {
						this.keeper.take(state);
						return true;
					}

					return false;
				},
				memberChanged: () => undefined,
				ownershipChanged: () => undefined,
			},
		});
	}

	/** Starts; resolves with its line in the platform's list. */
	async start(): Promise<ListedInstance> {
		const peerAddress = await this.service.listen();
		void this.service.run(this.#stop.signal);
		void this.#report();
		return {
			name: this.#name, role: 'entry', dataCentre: this.#dataCentre, service: '', address: peerAddress, peerAddress, state: 'live',
		};
	}

	/** Takes a change as if it had read it in the table. */
	accept(change: ConfigurationChange): void {
		if (this.keeper.offerChange(change) === undefined) {
			this.service.announceChange(change);
		}
	}

	/** Ends; its links break and nobody is told by it. */
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
