/**
 * Four holders allocate fencing numbers for one endpoint through a table that loses answers. They send orders to the
 * endpoint, with pauses and late orders. The endpoint, which checks fencing numbers, must never follow an order of an
 * older holder after one of a newer holder, and no two holders may get the same number.
 */
import {allocateFencingNumber} from '../protocol/order/fencing-number.js';
import {FaultyTable, TableRows} from './faulty-table.js';
import {type Scenario} from './scenario.js';
import {createProcess, type FaultSimulation} from './simulation.js';

export class OrderScenario implements Scenario {
	readonly name = 'order';
	readonly #holders = new Map<number, string>();
	readonly #rows = new TableRows(() => undefined);
	#highestSeen = 0;

	start(simulation: FaultSimulation): void {
		for (const name of ['entry-1', 'entry-2', 'entry-3', 'entry-4']) {
			simulation.schedule(simulation.choices.between(0, 3000), () => {
				void this.#sendOrder(simulation, name);
			});
		}
	}

	verify(simulation: FaultSimulation): void {
		if (this.#highestSeen > 0 && !this.#holders.has(this.#highestSeen)) {
			simulation.reportViolation(`the endpoint follows number ${this.#highestSeen}, which no holder was given`);
		}
	}

	async #sendOrder(simulation: FaultSimulation, name: string): Promise<void> {
		const process = createProcess(name);
		const taken = await allocateFencingNumber(new FaultyTable(simulation, this.#rows, process), {endpoint: 'engine-1', holder: name}, simulation.now);
		if (taken.isLeft()) {
			return;
		}

		const {fencingNumber} = taken.unsafeCoerce();
		const other = this.#holders.get(fencingNumber);
		if (other !== undefined) {
			simulation.reportViolation(`${name} and ${other} both hold number ${fencingNumber}`);
		}

		this.#holders.set(fencingNumber, name);
		await simulation.pauseOrStop(process);
		await simulation.delay(simulation.choices.between(1, 30_000));
		const isStale = fencingNumber < this.#highestSeen;
		this.#highestSeen = Math.max(this.#highestSeen, fencingNumber);
		simulation.log(`${name} orders with number ${fencingNumber}: ${isStale ? 'stale' : 'followed'}`);
	}
}
