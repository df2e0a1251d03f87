/**
 * A TCP relay between one instance and one outside system, in the process of the check. Cutting it closes its connections,
 * and it closes new ones at once until it is restored.
 */
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';

export class CuttableLink {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #target: {host: string; port: number};
	#isCut = false;

	/** @param target - `IP:port` of the outside system. */
	constructor(target: string) {
		const separator = target.lastIndexOf(':');
		this.#target = {host: target.slice(0, separator), port: Number(target.slice(separator + 1))};
		this.#server = createServer(socket => {
			this.#relay(socket);
		});
	}

	get isCut(): boolean {
		return this.#isCut;
	}

	/** Starts to listen on a free port. Returns `IP:port`. */
	async listen(): Promise<string> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	cut(): void {
		this.#isCut = true;
		this.#destroyAll();
	}

	restore(): void {
		this.#isCut = false;
	}

	close(): void {
		this.#server.close();
		this.#destroyAll();
	}

	#relay(socket: Socket): void {
		if (this.#isCut) {
			socket.destroy();
			return;
		}

		const onward = connect(this.#target);
		for (const [end, other] of [[socket, onward], [onward, socket]] as const) {
			this.#sockets.add(end);
			end.on('error', () => {
				end.destroy();
			});
			end.once('close', () => {
				this.#sockets.delete(end);
				other.destroy();
			});
			end.pipe(other);
		}
	}

	#destroyAll(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}
