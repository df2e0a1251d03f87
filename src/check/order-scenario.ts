/**
 * Four holders allocate fencing numbers for one endpoint through a table that loses answers. They send orders to the
 * endpoint, with pauses and late orders. The endpoint, which checks fencing numbers, must never follow an order of an
 * older holder after one of a newer holder, and no two holders may get the same number.
 */
import {allocateFencingNumber} from '../protocol/order/fencing-number.js';
import {FaultyTable, TableRows} from './faulty-table.js';
import {type Scenario} from './scenario.js';
import {virtualProcess, type VirtualWorld} from './virtual-world.js';

export class OrderScenario implements Scenario {
	readonly name = 'order';
	readonly #holders = new Map<number, string>();
	readonly #rows = new TableRows(() => undefined);
	#seen = 0;

	play(world: VirtualWorld): void {
		for (const name of ['entry-1', 'entry-2', 'entry-3', 'entry-4']) {
			world.after(world.choices.between(0, 3000), () => {
				void this.#order(world, name);
			});
		}
	}

	judge(world: VirtualWorld): void {
		if (this.#seen > 0 && !this.#holders.has(this.#seen)) {
			world.violate(`the endpoint follows number ${this.#seen}, which no holder was given`);
		}
	}

	async #order(world: VirtualWorld, name: string): Promise<void> {
		const process = virtualProcess(name);
		const taken = await allocateFencingNumber(new FaultyTable(world, this.#rows, process), {endpoint: 'engine-1', holder: name}, world.now);
		if (taken.isLeft()) {
			return;
		}

		const {fencingNumber} = taken.unsafeCoerce();
		const other = this.#holders.get(fencingNumber);
		if (other !== undefined) {
			world.violate(`${name} and ${other} both hold number ${fencingNumber}`);
		}

		this.#holders.set(fencingNumber, name);
		await world.step(process);
		await world.delay(world.choices.between(1, 30_000));
		const isStale = fencingNumber < this.#seen;
		this.#seen = Math.max(this.#seen, fencingNumber);
		world.note(`${name} orders with number ${fencingNumber}: ${isStale ? 'stale' : 'followed'}`);
	}
}
