/** A stand-in of another program on the network: an ordinary HTTP server that knows none of the paths that it is asked for. */
import {once} from 'node:events';
import {createServer} from 'node:http';

export class OtherProgram {
	/** The requests that it got. */
	requests = [];
	#server;

	/** Starts it; resolves with its address. */
	async start(host) {
		this.#server = createServer((request, response) => {
			this.requests.push({at: performance.now(), attempt: request.headers['x-attempt-id'], path: request.url});
			request.resume();
			response.writeHead(404, {'content-type': 'text/plain'});
			response.end('no such page\n');
		});
		this.#server.listen(0, host);
		await once(this.#server, 'listening');
		return `${host}:${this.#server.address().port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}
