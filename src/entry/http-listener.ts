/** Serves an h3 application on one address, with bounds that keep slow or broken clients from holding it. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type H3, toNodeHandler} from 'h3';
import {type Child} from '../supervisor/supervisor.js';

const headersTimeoutMilliseconds = 10_000;
const requestTimeoutMilliseconds = 60_000;
const largestHeaderBytes = 32_768;

export class HttpListener implements Child {
	readonly name: string;
	readonly #server: Server;
	readonly #address: {host: string; port: number};

	/**
	 * @param name - Name of the child.
	 * @param app - What to serve.
	 * @param address - `IP:port`; port 0 takes a free one.
	 */
	constructor(name: string, app: H3, address: string) {
		this.name = name;
		const separator = address.lastIndexOf(':');
		this.#address = {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
		const handle = toNodeHandler(app);
		this.#server = createServer({
			headersTimeout: headersTimeoutMilliseconds,
			requestTimeout: requestTimeoutMilliseconds,
			maxHeaderSize: largestHeaderBytes,
		}, (request, response) => {
			void handle(request, response);
		});
	}

	/** Starts to listen. Resolves with `IP:port`. */
	async listen(): Promise<string> {
		this.#server.listen(this.#address.port, this.#address.host);
		await once(this.#server, 'listening');
		const {port} = this.#server.address() as AddressInfo;
		return `${this.#address.host}:${port}`;
	}

	async run(signal: AbortSignal): Promise<void> {
		if (!this.#server.listening) {
			await this.listen();
		}

		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}

	/** Takes no new connection. Resolves when the last answer was written. */
	async drain(): Promise<void> {
		this.#server.close();
		this.#server.closeIdleConnections();
		await once(this.#server, 'close');
	}
}
