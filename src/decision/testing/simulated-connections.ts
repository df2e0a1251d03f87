/** The idle connections of one instance in virtual time. */
import {EndedConnections} from '../connections/ended-connections.js';
import {type ConnectionView} from '../connections/connection-view.js';
import {idleTimeoutMilliseconds} from '../limits/idle-timeout.js';
import {maxIdleConnections} from '../limits/max-idle-connections.js';
import {type ConnectedEngine} from './connected-engine.js';

export class SimulatedConnections implements ConnectionView {
	readonly #instance: {instance: string; instances: number; connectionLimit: number};
	/** When the idle connections to an address are closed; the one that was used last comes last. */
	readonly #idle = new Map<string, number[]>();
	readonly #kept = new Map<string, number>();
	readonly #ended = new EndedConnections();

	constructor(instance: {instance: string; instances: number; connectionLimit: number}) {
		this.#instance = instance;
	}

	hasIdle(address: string, now: number): boolean {
		return (this.#idle.get(address)?.at(-1) ?? 0) > now && !this.#ended.hasEnded(address, now);
	}

	keptMilliseconds(address: string): number | undefined {
		return this.#kept.get(address);
	}

	/** Takes an idle connection; returns whether there is one. */
	take(address: string, now: number): boolean {
		const open = (this.#idle.get(address) ?? []).filter(until => until > now);
		const isKept = open.pop() !== undefined;
		this.#idle.set(address, open);
		return isKept;
	}

	/** Keeps a connection after a response, if it may. */
	release({options: {record: {address}, statedMilliseconds}}: ConnectedEngine, now: number): void {
		const open = (this.#idle.get(address) ?? []).filter(until => until > now);
		const kept = idleTimeoutMilliseconds(statedMilliseconds);
		this.#kept.set(address, kept);
		if (open.length < maxIdleConnections({...this.#instance, address})) {
			open.push(now + kept);
		}

		this.#idle.set(address, open);
	}

	/** The endpoint ends its idle connections. */
	end(address: string, now: number): void {
		if ((this.#idle.get(address) ?? []).some(until => until > now)) {
			this.#idle.delete(address);
			this.#ended.noteEnded(address, now);
		}
	}
}
