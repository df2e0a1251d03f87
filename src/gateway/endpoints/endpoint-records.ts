/** The rows of endpoints by name, and those of each service that are ready, which each request reads several times. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';

export class EndpointRecords {
	readonly #records = new Map<string, EndpointRecord>();
	/** By service; built when it is first read after a change. */
	readonly #ready = new Map<string, readonly EndpointRecord[]>();
	/** Built when it is first read after a change. */
	#all: readonly EndpointRecord[] | undefined;

	get(name: string): EndpointRecord | undefined {
		return this.#records.get(name);
	}

	keys(): IterableIterator<string> {
		return this.#records.keys();
	}

	values(): IterableIterator<EndpointRecord> {
		return this.#records.values();
	}

	/** All records, in the order of their names' first appearance. The list is not modified later. */
	get all(): readonly EndpointRecord[] {
		this.#all ??= [...this.#records.values()];
		return this.#all;
	}

	/** Adds a record, or replaces the one of the same name, which keeps its position. */
	put(record: EndpointRecord): void {
		this.#records.set(record.name, record);
		this.#noteChange();
	}

	delete(name: string): void {
		this.#records.delete(name);
		this.#noteChange();
	}

	/** The records of a service that are ready, in the order of their names' first appearance. The list is not modified later. */
	readyOf(service: string): readonly EndpointRecord[] {
		const known = this.#ready.get(service);
		if (known !== undefined) {
			return known;
		}

		const ready = [...this.#records.values()].filter(record => record.service === service && record.state === 'ready');
		this.#ready.set(service, ready);
		return ready;
	}

	#noteChange(): void {
		this.#ready.clear();
		this.#all = undefined;
	}
}
