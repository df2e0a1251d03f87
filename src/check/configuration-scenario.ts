/**
 * Three instances follow the configuration while two operators make concurrent changes. Instances are restarted and cut
 * off from the platform and from each other, answers of the table are lost, and changes from peers arrive late, twice, out
 * of order and damaged. Each instance is checked at an interval: the version in force must never decrease, and its content
 * must be what was accepted.
 */
import {ConfigurationHolder} from '../entry/configuration-holder.js';
import {ConfigurationWatcher} from '../entry/watchers/configuration-watcher.js';
import {type Row} from '../ports/table-service.js';
import {applyChange} from '../protocol/configuration/apply-change.js';
import {type ConfigurationState, emptyConfiguration} from '../protocol/configuration/configuration-state.js';
import {acceptProposal, configurationTable, headKey} from '../protocol/configuration/configuration-table.js';
import {type ConfigurationChange} from '../shared/types.js';
import {FaultyTable, TableRows} from './faulty-table.js';
import {type Scenario} from './scenario.js';
import {createProcess, type SimulatedProcess, type FaultSimulation} from './simulation.js';

const durationMilliseconds = 40_000;
const checkIntervalMilliseconds = 250;
const gossipIntervalMilliseconds = 300;
const pollIntervalMilliseconds = 500;

type Instance = {process: SimulatedProcess; holder: ConfigurationHolder; incarnation: number; served: number; isCutFromPeers: boolean};
type ProposalAnswer = {change: {author: string; reason: string}; isAccepted: boolean};

export class ConfigurationScenario implements Scenario {
	readonly name = 'configuration';
	readonly #instances: Instance[] = [];
	/** The accepted states by version, starting with version 0. */
	readonly #accepted: ConfigurationState[] = [emptyConfiguration];
	readonly #changes: ConfigurationChange[] = [];
	readonly #proposalAnswers: ProposalAnswer[] = [];
	#rows!: TableRows;
	#endsAt = 0;

	start(simulation: FaultSimulation): void {
		this.#endsAt = simulation.now + durationMilliseconds;
		this.#rows = new TableRows(row => {
			this.#recordAccepted(simulation, row);
		});
		for (const name of ['entry-1', 'entry-2', 'entry-3']) {
			const instance = {
				process: createProcess(name), holder: new ConfigurationHolder(), incarnation: 0, served: 0, isCutFromPeers: false,
			};
			this.#instances.push(instance);
			this.#restart(simulation, instance);
			this.#gossip(simulation, instance);
		}

		this.#checkServedVersions(simulation);
		for (const name of ['operator-1', 'operator-2']) {
			void this.#proposeChanges(simulation, createProcess(name));
		}

		this.#planFaults(simulation);
	}

	verify(simulation: FaultSimulation): void {
		for (const {change, isAccepted} of this.#proposalAnswers) {
			const isInTable = this.#changes.some(({author, reason}) => author === change.author && reason === change.reason);
			if (isInTable !== isAccepted) {
				simulation.reportViolation(`${change.author} got the answer that ${change.reason} was ${isAccepted ? '' : 'not '}accepted, which is wrong`);
			}
		}
	}

	/** Records each change that the table accepts, and checks that the versions are consecutive. */
	#recordAccepted(simulation: FaultSimulation, row: Row): void {
		if (row.table !== configurationTable || row.key === headKey) {
			return;
		}

		const change = row.value as unknown as ConfigurationChange;
		if (change.version !== this.#accepted.length) {
			simulation.reportViolation(`version ${change.version} was accepted in place of version ${this.#accepted.length}`);
			return;
		}

		this.#changes.push(change);
		this.#accepted.push(applyChange(this.#accepted.at(-1)!, change).unsafeCoerce());
		simulation.log(`version ${change.version} of ${change.author} is accepted`);
	}

	#restart(simulation: FaultSimulation, instance: Instance): void {
		instance.incarnation++;
		instance.holder = new ConfigurationHolder();
		const {process} = instance;
		const watcher = new ConfigurationWatcher({
			clock: simulation.clockOf(process),
			table: new FaultyTable(simulation, this.#rows, process),
			configuration: instance.holder,
			settings: {configurationPollMilliseconds: pollIntervalMilliseconds},
			logger: {
				warn() {
					// The watcher warns of changes that it drops; the check does not read its log.
				},
			},
			timeline: {
				record() {
					// The check reads the configuration itself.
				},
			},
		}, {isReader: true, random: () => 0});
		void this.#watch(simulation, instance, watcher);
	}

	async #watch(simulation: FaultSimulation, instance: Instance, watcher: ConfigurationWatcher): Promise<void> {
		const {incarnation} = instance;
		while (simulation.now < this.#endsAt && instance.incarnation === incarnation) {
			await watcher.pollOnce();
			await simulation.delay(pollIntervalMilliseconds);
		}
	}

	/** Sends each peer the changes that it lacks, at times late, twice or damaged. */
	#gossip(simulation: FaultSimulation, instance: Instance): void {
		const {choices} = simulation;
		for (const peer of this.#instances) {
			if (peer === instance || peer.isCutFromPeers || instance.isCutFromPeers) {
				continue;
			}

			for (const change of this.#changes.slice(peer.holder.state.version, instance.holder.state.version)) {
				const isDamaged = choices.chance(5);
				const {incarnation} = peer;
				simulation.schedule(choices.between(1, 200), () => {
					if (peer.incarnation === incarnation) {
						peer.holder.offer(isDamaged ? {...change, edits: []} : change);
					}
				});
			}
		}

		if (simulation.now < this.#endsAt) {
			simulation.schedule(gossipIntervalMilliseconds, () => {
				this.#gossip(simulation, instance);
			});
		}
	}

	#checkServedVersions(simulation: FaultSimulation): void {
		for (const instance of this.#instances) {
			const {startGate, state} = instance.holder;
			if (!startGate.isOpen || state.version === 0) {
				continue;
			}

			const {name} = instance.process;
			if (state.version < instance.served && this.#canReachServedVersion(instance)) {
				simulation.reportViolation(`${name} reverted from version ${instance.served} to ${state.version}`);
			}

			if (JSON.stringify([...state.limits]) !== JSON.stringify([...this.#accepted[state.version]!.limits])) {
				simulation.reportViolation(`${name} serves other content as version ${state.version} than was accepted`);
			}

			instance.served = state.version;
		}

		if (simulation.now < this.#endsAt) {
			simulation.schedule(checkIntervalMilliseconds, () => {
				this.#checkServedVersions(simulation);
			});
		}
	}

	/** Returns false only if neither the platform nor any reachable peer has the version that the instance served before. */
	#canReachServedVersion(instance: Instance): boolean {
		const peerKnows = !instance.isCutFromPeers && this.#instances.some(peer => peer !== instance && !peer.isCutFromPeers && peer.holder.state.version >= instance.served);
		return peerKnows || !(instance.process.isCutOff || this.#rows.isDown);
	}

	async #proposeChanges(simulation: FaultSimulation, process: SimulatedProcess): Promise<void> {
		const {choices} = simulation;
		const table = new FaultyTable(simulation, this.#rows, process);
		const proposals = choices.between(3, 10);
		for (let index = 0; index < proposals; index++) {
			await simulation.delay(choices.between(1, 5000));
			const change = {author: process.name, reason: `change ${index}`};
			const result = await acceptProposal(table, {
				...change,
				plannedAgainst: this.#changes.length,
				edits: [{action: 'set', kind: 'limit', item: {name: 'open-requests', value: choices.between(1, 10_000)}}],
			}, simulation.now);
			result.caseOf({
				Left: failure => {
					simulation.log(`${process.name} gets ${failure.kind} for ${change.reason}`);
					if (failure.kind !== 'outcome-unknown') {
						this.#proposalAnswers.push({change, isAccepted: false});
					}
				},
				Right: () => {
					this.#proposalAnswers.push({change, isAccepted: true});
				},
			});
		}
	}

	#planFaults(simulation: FaultSimulation): void {
		const {choices} = simulation;
		const faults = choices.between(0, 8);
		for (let index = 0; index < faults; index++) {
			simulation.schedule(choices.between(0, durationMilliseconds), () => {
				this.#injectFault(simulation, choices.oneOf(this.#instances));
			});
		}
	}

	#injectFault(simulation: FaultSimulation, instance: Instance): void {
		const {choices} = simulation;
		const fault = choices.oneOf(['restart', 'restart', 'cut from the platform', 'cut from peers', 'platform down'] as const);
		const milliseconds = choices.between(100, 15_000);
		simulation.log(`${instance.process.name}: ${fault}, ${milliseconds} ms`);
		if (fault === 'restart') {
			this.#restart(simulation, instance);
			return;
		}

		this.#setFault(instance, fault, true);
		simulation.schedule(milliseconds, () => {
			this.#setFault(instance, fault, false);
		});
	}

	#setFault(instance: Instance, fault: 'cut from the platform' | 'cut from peers' | 'platform down', isOn: boolean): void {
		if (fault === 'platform down') {
			this.#rows.isDown = isOn;
		} else if (fault === 'cut from peers') {
			instance.isCutFromPeers = isOn;
		} else {
			instance.process.isCutOff = isOn;
		}
	}
}
