/**
 * Calls with one idempotency key at three instances, while answers are lost, writes are applied late, instances pause for
 * longer than the lease or are killed, the platform is down, and operators pause and resume the service. The simulated
 * plain service counts the runs.
 */
import {Buffer} from 'node:buffer';
import {type Either, Left, Right} from 'purify-ts/Either';
import {ConfigurationHolder} from '../entry/configuration-holder.js';
import {AtMostOnceRunner} from '../entry/callers/at-most-once-runner.js';
import {type PlainAnswer, type PlainFailure} from '../ports/plain-service.js';
import {type Row} from '../ports/table-service.js';
import {type ClaimRow, claimTable} from '../protocol/claim/claim-row.js';
import {changeDigest} from '../protocol/configuration/change-digest.js';
import {emptyDigest} from '../protocol/configuration/configuration-state.js';
import {changeKeyOf, configurationTable, headKey} from '../protocol/configuration/configuration-table.js';
import {type ConfigurationChange, type Refusal} from '../shared/types.js';
import {FaultyTable, TableRows} from './faulty-table.js';
import {type Scenario} from './scenario.js';
import {createProcess, type SimulatedProcess, type FaultSimulation} from './simulation.js';

const claimKey = 'quay/bookings/one';
/** The longest time that a call may take, not counting pauses of its instance. */
const maxOutcomeMilliseconds = 60_000;

type Instance = {process: SimulatedProcess; runner: AtMostOnceRunner; configuration: ConfigurationHolder};
type Caller = {name: string; body: string; instance: Instance; arrivedAt: number; outcome?: Either<Refusal, PlainAnswer>};

export class ClaimScenario implements Scenario {
	readonly name = 'claim';
	readonly #callers: Caller[] = [];
	readonly #runs: Caller[] = [];
	#rows!: TableRows;
	#changes: ConfigurationChange[] = [];

	start(simulation: FaultSimulation): void {
		const {choices} = simulation;
		this.#rows = new TableRows(row => {
			this.#checkClaim(simulation, row);
		});
		this.#acceptChange(simulation, false);
		const instances = ['entry-1', 'entry-2', 'entry-3'].map(name => this.#startInstance(simulation, name));
		const callers = choices.between(2, 6);
		for (let index = 0; index < callers; index++) {
			simulation.schedule(choices.between(0, 20_000), () => {
				this.#call(simulation, index, choices.oneOf(instances));
			});
		}

		this.#planFaults(simulation, instances);
	}

	verify(simulation: FaultSimulation): void {
		if (this.#runs.length > 1) {
			simulation.reportViolation(`the call ran ${this.#runs.length} times`);
		}

		for (const caller of this.#callers) {
			if (caller.outcome === undefined) {
				if (!caller.instance.process.isKilled) {
					simulation.reportViolation(`${caller.name} never got an outcome`);
				}

				continue;
			}

			this.#verifyOutcome(simulation, caller, caller.outcome);
		}
	}

	#verifyOutcome(simulation: FaultSimulation, caller: Caller, outcome: Either<Refusal, PlainAnswer>): void {
		outcome.caseOf({
			Left: refusal => {
				if (refusal.ran === 'not-run' && this.#runs.includes(caller)) {
					simulation.reportViolation(`${caller.name} got "not-run" (${refusal.reason}), but its call ran`);
				}
			},
			Right: answer => {
				const [run] = this.#runs;
				if (run === undefined || answer.body.toString() !== answerTo(run) || run.body !== caller.body) {
					simulation.reportViolation(`${caller.name} got an answer that does not belong to the first run of its call`);
				}
			},
		});
	}

	#startInstance(simulation: FaultSimulation, name: string): Instance {
		const process = createProcess(name);
		const configuration = new ConfigurationHolder();
		configuration.offer(this.#changes[0]!);
		const runner = new AtMostOnceRunner({
			clock: simulation.clockOf(process), table: new FaultyTable(simulation, this.#rows, process), configuration, settings: {instance: name}, endpoints: {entryCount: 3},
		});
		return {process, runner, configuration};
	}

	#call(simulation: FaultSimulation, index: number, instance: Instance): void {
		if (instance.process.isKilled) {
			return;
		}

		const body = simulation.choices.oneOf(['tuesday', 'tuesday', 'tuesday', 'friday']);
		const caller: Caller = {
			name: `caller-${index}`, body, instance, arrivedAt: simulation.now,
		};
		this.#callers.push(caller);
		simulation.log(`${caller.name} calls ${instance.process.name} with ${body}`);
		void this.#run(simulation, caller);
	}

	async #run(simulation: FaultSimulation, caller: Caller): Promise<void> {
		const {runner, configuration, process} = caller.instance;
		const outcome = await runner.run({
			claimKey,
			bodyDigest: caller.body,
			askAt: '/v1/calls/bookings/one',
			configurationVersion: configuration.state.version,
			refuseByConfiguration: () => isPaused(configuration) ? {reason: 'paused', ran: 'not-run', message: 'paused'} : undefined,
			send: async () => this.#send(simulation, caller),
		});
		if (caller.outcome !== undefined) {
			simulation.reportViolation(`${caller.name} got two outcomes`);
		}

		caller.outcome = outcome;
		simulation.log(`${caller.name} gets ${outcome.caseOf({Left: refusal => `${refusal.reason} ${refusal.ran}`, Right: answer => answer.body.toString()})}`);
		const elapsed = simulation.now - caller.arrivedAt - process.pausedMilliseconds;
		if (elapsed > maxOutcomeMilliseconds) {
			simulation.reportViolation(`${caller.name} waited ${elapsed} ms for its outcome`);
		}
	}

	async #send(simulation: FaultSimulation, caller: Caller): Promise<Either<PlainFailure, PlainAnswer>> {
		const {choices} = simulation;
		const {process} = caller.instance;
		await simulation.pauseOrStop(process);
		const outcome = choices.oneOf(['well', 'well', 'well', 'well', 'not-sent', 'lost-after', 'lost-before', 'late'] as const);
		simulation.log(`${process.name} sends for ${caller.name} (${outcome})`);
		await simulation.delay(choices.between(1, 500));
		if (outcome === 'not-sent') {
			return Left({kind: 'not-sent', detail: 'refused'});
		}

		if (outcome === 'late') {
			simulation.schedule(choices.between(1, 90_000), () => {
				this.#runs.push(caller);
			});
		} else if (outcome !== 'lost-before') {
			this.#runs.push(caller);
		}

		await simulation.delay(outcome === 'well' ? choices.between(1, 20) : 30_000);
		await simulation.pauseOrStop(process);
		return outcome === 'well'
			? Right({status: 201, headers: {}, body: Buffer.from(answerTo(caller))})
			: Left({kind: 'outcome-unknown', detail: outcome});
	}

	#planFaults(simulation: FaultSimulation, instances: readonly Instance[]): void {
		const {choices} = simulation;
		if (choices.chance(30)) {
			simulation.schedule(choices.between(0, 30_000), () => {
				const {process} = choices.oneOf(instances);
				process.isKilled = true;
				simulation.log(`${process.name} is killed`);
			});
		}

		if (choices.chance(30)) {
			simulation.schedule(choices.between(0, 20_000), () => {
				this.#rows.isDown = true;
				simulation.log('the platform goes down');
				simulation.schedule(choices.between(100, 20_000), () => {
					this.#rows.isDown = false;
					simulation.log('the platform is back');
				});
			});
		}

		for (const paused of [true, false]) {
			if (choices.chance(30)) {
				simulation.schedule(choices.between(0, 20_000), () => {
					this.#acceptChange(simulation, paused);
				});
			}
		}
	}

	/** Accepts an operator's change at the table. Instances are not notified: they learn of it when they write a claim. */
	#acceptChange(simulation: FaultSimulation, paused: boolean): void {
		const last = this.#changes.at(-1);
		const draft = {
			version: (last?.version ?? 0) + 1,
			previousDigest: last?.digest ?? emptyDigest,
			author: 'operator',
			reason: 'check',
			acceptedAt: simulation.now,
			edits: [{
				action: 'set' as const, kind: 'service' as const, item: {
					name: 'bookings', kind: 'plain' as const, neverTwice: [], fencing: 'ignored' as const, paused,
				},
			}],
		};
		const change = {...draft, digest: changeDigest(draft)};
		this.#changes = [...this.#changes, change];
		simulation.log(`version ${change.version} is accepted: ${paused ? 'paused' : 'open'}`);
		this.#rows.apply({
			conditions: [],
			writes: [
				{table: configurationTable, key: headKey, value: {version: change.version, digest: change.digest}},
				{table: configurationTable, key: changeKeyOf(change.version), value: change},
			],
		});
	}

	/** Checks that a claim enters the stage `sending` only under the newest configuration version. */
	#checkClaim(simulation: FaultSimulation, row: Row): void {
		if (row.table !== claimTable) {
			return;
		}

		const claim = row.value as unknown as ClaimRow;
		const newest = this.#changes.at(-1)!.version;
		if (claim.stage === 'sending' && claim.configurationVersion !== newest) {
			simulation.reportViolation(`a call was started under version ${claim.configurationVersion} while ${newest} was accepted`);
		}
	}
}

function isPaused(configuration: ConfigurationHolder): boolean {
	return configuration.state.services.get('bookings')?.paused ?? false;
}

function answerTo(caller: Caller): string {
	return `confirmed ${caller.body} for ${caller.name}`;
}
