/* eslint camelcase: "off" -- the platform's fields are in snake_case */
/** A stand-in of a server of a plain service. It registers itself in the store, runs requests and signs its answers. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

const heartbeatMilliseconds = 1200;
const defaultWorkMilliseconds = 20;

export class Endpoint {
	/** Each request that it ran, with the time of its arrival. */
	runs = [];
	id;
	#host;
	#store;
	#workMilliseconds;
	#statusOf;
	#server;
	#sequence = 0;
	#state = 'ready';
	#timer;
	#born = Date.now();

	/** @param options - `id`, `host`, `store`, the time that a request takes, and the status that it is answered with. */
	constructor({id, host, store, workMilliseconds = defaultWorkMilliseconds, statusOf = () => 200}) {
		this.id = id;
		this.#host = host;
		this.#store = store;
		this.#workMilliseconds = workMilliseconds;
		this.#statusOf = statusOf;
	}

	async start() {
		this.#server = createServer({keepAliveTimeout: 10_000}, async (request, response) => {
			await this.#serve(request, response);
		});
		this.#server.listen(0, this.#host);
		await once(this.#server, 'listening');
		this.#beatSteadily();
	}

	stop() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** The entry of its next heartbeat. */
	nextEntry() {
		this.#sequence++;
		return {
			service: 'permit-app', address: `${this.#host}:${this.#server.address().port}`, zone: 'split-zone', version: 'v1',
			slots: 6, state: this.#state, cold_left_ms: 0, models: [], seq: this.#sequence, born: this.#born,
		};
	}

	/** Reports that it leaves; the store has acknowledged that when this returns. */
	leave() {
		this.#state = 'draining';
		clearInterval(this.#timer);
		this.#beatSteadily();
	}

	#beatSteadily() {
		const beat = () => {
			this.#store.write('servers', this.id, this.nextEntry());
		};

		beat();
		this.#timer = setInterval(beat, heartbeatMilliseconds);
	}

	async #serve(request, response) {
		request.resume();
		await once(request, 'end');
		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {'x-instance-id': this.id});
			response.end();
			return;
		}

		const attempt = request.headers['x-attempt-id'];
		this.runs.push({at: performance.now(), attempt, path: request.url});
		await delay(this.#workMilliseconds);
		response.writeHead(this.#statusOf(), {
			'content-type': 'text/plain', 'x-attempt-id': attempt, 'x-server-seal': `seal-${this.id}-${attempt}`, 'x-server-load': '1,0,6', 'keep-alive': 'timeout=10',
		});
		response.end(`answer of ${this.id} to ${attempt}\n`);
	}
}
