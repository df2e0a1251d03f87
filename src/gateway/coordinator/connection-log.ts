/** Logs when an instance finds and loses the holder of one of the coordinator's two leases. */
import {type DecisionLog} from '../observability/decision-log.js';

export class ConnectionLog {
	readonly #log: DecisionLog;
	readonly #dependency: string;
	#wasConnected: boolean | undefined;

	constructor(log: DecisionLog, dependency: string) {
		this.#log = log;
		this.#dependency = dependency;
	}

	/** Writes a line if the state has changed; an instance that has not found a holder yet has lost none. */
	note(isConnected: boolean, {address, isLapsed}: {address: string | undefined; isLapsed: boolean}): void {
		if (isConnected === this.#wasConnected) {
			return;
		}

		if (this.#wasConnected !== undefined || isConnected) {
			this.#log.record(isConnected ? 'dependency-regained' : 'dependency-lost', {dependency: this.#dependency, address, isLapsed});
		}

		this.#wasConnected = isConnected;
	}
}
