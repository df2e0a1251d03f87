/* eslint camelcase: "off" -- the platform's fields are in snake_case */
/**
 * A stand-in of a server whose streams may be resumed. It may crash, and come back under its id and at its address at another version
 * of its software.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

const heartbeatMilliseconds = 1200;
const eventMilliseconds = 50;
const eventCount = 25;

export class StreamServer {
	/** Each run: its attempt, the version of the server, and the event after which it goes on. */
	runs = [];
	id;
	#host;
	#store;
	#port = 0;
	#server;
	#version = 'v1';
	#sequence = 0;
	#born = 0;
	#timer;

	constructor({id, host, store}) {
		this.id = id;
		this.#host = host;
		this.#store = store;
	}

	/** Starts to serve, and writes its entry after a time. */
	async start({version = 'v1', entryMilliseconds = 0} = {}) {
		this.#version = version;
		this.#born = Date.now();
		this.#sequence = 0;
		this.#server = createServer({keepAliveTimeout: 10_000}, async (request, response) => {
			await this.#serve(request, response);
		});
		this.#server.listen(this.#port, this.#host);
		await once(this.#server, 'listening');
		this.#port = this.#server.address().port;
		const beat = () => {
			this.#sequence++;
			this.#store.write('servers', this.id, {
				service: 'lm-pool', address: `${this.#host}:${this.#port}`, zone: 'split-zone', version: this.#version,
				slots: 64, state: 'ready', cold_left_ms: 0, models: [], seq: this.#sequence, born: this.#born,
			});
		};

		this.#timer = setTimeout(() => {
			beat();
			this.#timer = setInterval(beat, heartbeatMilliseconds);
		}, entryMilliseconds);
	}

	/** Ends at once: its connections end, and nothing listens at its address. */
	crash() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		this.#server.close();
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
		const version = this.#version;
		const after = Number(request.headers['last-event-id'] ?? 0);
		this.runs.push({
			at: performance.now(), attempt, version, after,
		});
		response.writeHead(200, {
			'content-type': 'text/event-stream', 'x-attempt-id': attempt, 'x-server-seal': `seal-${this.id}-${attempt}`, 'x-server-load': '1,0,64', 'keep-alive': 'timeout=10',
		});
		for (let event = after + 1; event <= eventCount && !response.destroyed; event++) {
			response.write(`id: ${event}\ndata: ${version}\n\n`);
			await delay(eventMilliseconds);
		}

		response.end();
	}
}
