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
import {virtualProcess, type VirtualProcess, type VirtualWorld} from './virtual-world.js';

const claimKey = 'quay/bookings/one';
/** The longest time that a call may take, not counting pauses of its instance. */
const longestOutcomeMilliseconds = 60_000;

type Instance = {process: VirtualProcess; runner: AtMostOnceRunner; configuration: ConfigurationHolder};
type Caller = {name: string; body: string; instance: Instance; arrivedAt: number; outcome?: Either<Refusal, PlainAnswer>};

export class ClaimScenario implements Scenario {
	readonly name = 'claim';
	readonly #callers: Caller[] = [];
	readonly #runs: Caller[] = [];
	#rows!: TableRows;
	#changes: ConfigurationChange[] = [];

	play(world: VirtualWorld): void {
		const {choices} = world;
		this.#rows = new TableRows(row => {
			this.#check(world, row);
		});
		this.#accept(world, false);
		const instances = ['entry-1', 'entry-2', 'entry-3'].map(name => this.#startInstance(world, name));
		const callers = choices.between(2, 6);
		for (let index = 0; index < callers; index++) {
			world.after(choices.between(0, 20_000), () => {
				this.#call(world, index, choices.oneOf(instances));
			});
		}

		this.#planFaults(world, instances);
	}

	judge(world: VirtualWorld): void {
		if (this.#runs.length > 1) {
			world.violate(`the call ran ${this.#runs.length} times`);
		}

		for (const caller of this.#callers) {
			if (caller.outcome === undefined) {
				if (!caller.instance.process.killed) {
					world.violate(`${caller.name} never got an outcome`);
				}

				continue;
			}

			this.#judgeOutcome(world, caller, caller.outcome);
		}
	}

	#judgeOutcome(world: VirtualWorld, caller: Caller, outcome: Either<Refusal, PlainAnswer>): void {
		outcome.caseOf({
			Left: refusal => {
				if (refusal.ran === 'not-run' && this.#runs.includes(caller)) {
					world.violate(`${caller.name} got "not-run" (${refusal.reason}), but its call ran`);
				}
			},
			Right: answer => {
				const [run] = this.#runs;
				if (run === undefined || answer.body.toString() !== answerTo(run) || run.body !== caller.body) {
					world.violate(`${caller.name} got an answer that does not belong to the first run of its call`);
				}
			},
		});
	}

	#startInstance(world: VirtualWorld, name: string): Instance {
		const process = virtualProcess(name);
		const configuration = new ConfigurationHolder();
		configuration.offer(this.#changes[0]!);
		const runner = new AtMostOnceRunner({
			clock: world.clockOf(process), table: new FaultyTable(world, this.#rows, process), configuration, settings: {instance: name}, endpoints: {entryCount: 3},
		});
		return {process, runner, configuration};
	}

	#call(world: VirtualWorld, index: number, instance: Instance): void {
		if (instance.process.killed) {
			return;
		}

		const body = world.choices.oneOf(['tuesday', 'tuesday', 'tuesday', 'friday']);
		const caller: Caller = {
			name: `caller-${index}`, body, instance, arrivedAt: world.now,
		};
		this.#callers.push(caller);
		world.note(`${caller.name} calls ${instance.process.name} with ${body}`);
		void this.#run(world, caller);
	}

	async #run(world: VirtualWorld, caller: Caller): Promise<void> {
		const {runner, configuration, process} = caller.instance;
		const outcome = await runner.run({
			claimKey,
			bodyDigest: caller.body,
			askAt: '/v1/calls/bookings/one',
			configurationVersion: configuration.state.version,
			refuseByConfiguration: () => isPaused(configuration) ? {reason: 'paused', ran: 'not-run', message: 'paused'} : undefined,
			send: async () => this.#send(world, caller),
		});
		if (caller.outcome !== undefined) {
			world.violate(`${caller.name} got two outcomes`);
		}

		caller.outcome = outcome;
		world.note(`${caller.name} gets ${outcome.caseOf({Left: refusal => `${refusal.reason} ${refusal.ran}`, Right: answer => answer.body.toString()})}`);
		const took = world.now - caller.arrivedAt - process.pausedMilliseconds;
		if (took > longestOutcomeMilliseconds) {
			world.violate(`${caller.name} waited ${took} ms for its outcome`);
		}
	}

	async #send(world: VirtualWorld, caller: Caller): Promise<Either<PlainFailure, PlainAnswer>> {
		const {choices} = world;
		const {process} = caller.instance;
		await world.step(process);
		const fate = choices.oneOf(['well', 'well', 'well', 'well', 'not-sent', 'lost-after', 'lost-before', 'late'] as const);
		world.note(`${process.name} sends for ${caller.name} (${fate})`);
		await world.delay(choices.between(1, 500));
		if (fate === 'not-sent') {
			return Left({kind: 'not-sent', detail: 'refused'});
		}

		if (fate === 'late') {
			world.after(choices.between(1, 90_000), () => {
				this.#runs.push(caller);
			});
		} else if (fate !== 'lost-before') {
			this.#runs.push(caller);
		}

		await world.delay(fate === 'well' ? choices.between(1, 20) : 30_000);
		await world.step(process);
		return fate === 'well'
			? Right({status: 201, headers: {}, body: Buffer.from(answerTo(caller))})
			: Left({kind: 'outcome-unknown', detail: fate});
	}

	#planFaults(world: VirtualWorld, instances: readonly Instance[]): void {
		const {choices} = world;
		if (choices.chance(30)) {
			world.after(choices.between(0, 30_000), () => {
				const {process} = choices.oneOf(instances);
				process.killed = true;
				world.note(`${process.name} is killed`);
			});
		}

		if (choices.chance(30)) {
			world.after(choices.between(0, 20_000), () => {
				this.#rows.isDown = true;
				world.note('the platform goes down');
				world.after(choices.between(100, 20_000), () => {
					this.#rows.isDown = false;
					world.note('the platform is back');
				});
			});
		}

		for (const paused of [true, false]) {
			if (choices.chance(30)) {
				world.after(choices.between(0, 20_000), () => {
					this.#accept(world, paused);
				});
			}
		}
	}

	/** Accepts an operator's change at the table. Instances are not notified: they learn of it when they write a claim. */
	#accept(world: VirtualWorld, paused: boolean): void {
		const last = this.#changes.at(-1);
		const draft = {
			version: (last?.version ?? 0) + 1,
			previousDigest: last?.digest ?? emptyDigest,
			author: 'operator',
			reason: 'check',
			acceptedAt: world.now,
			edits: [{
				action: 'set' as const, kind: 'service' as const, item: {
					name: 'bookings', kind: 'plain' as const, neverTwice: [], fencing: 'ignored' as const, paused,
				},
			}],
		};
		const change = {...draft, digest: changeDigest(draft)};
		this.#changes = [...this.#changes, change];
		world.note(`version ${change.version} is accepted: ${paused ? 'paused' : 'open'}`);
		this.#rows.apply({
			conditions: [],
			writes: [
				{table: configurationTable, key: headKey, value: {version: change.version, digest: change.digest}},
				{table: configurationTable, key: changeKeyOf(change.version), value: change},
			],
		});
	}

	/** Checks that a claim enters the stage `sending` only under the newest configuration version. */
	#check(world: VirtualWorld, row: Row): void {
		if (row.table !== claimTable) {
			return;
		}

		const claim = row.value as unknown as ClaimRow;
		const newest = this.#changes.at(-1)!.version;
		if (claim.stage === 'sending' && claim.configurationVersion !== newest) {
			world.violate(`a call was started under version ${claim.configurationVersion} while ${newest} was accepted`);
		}
	}
}

function isPaused(configuration: ConfigurationHolder): boolean {
	return configuration.state.services.get('bookings')?.paused ?? false;
}

function answerTo(caller: Caller): string {
	return `confirmed ${caller.body} for ${caller.name}`;
}
