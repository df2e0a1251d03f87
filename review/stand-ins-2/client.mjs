/** A stand-in of a client: sends requests on kept connections, each with an attempt id of its own. */
import {randomBytes} from 'node:crypto';
import {Agent, request as sendRequest} from 'node:http';

export class Client {
	#front;
	#host;
	#agent = new Agent({keepAlive: true, maxSockets: 32});

	constructor({front, host}) {
		this.#front = front;
		this.#host = host;
	}

	close() {
		this.#agent.destroy();
	}

	/** Sends one request; resolves with what the client got. */
	async send({path, method = 'POST', deadlineMilliseconds, headers = {}}) {
		const attempt = randomBytes(8).toString('hex');
		const sentAt = performance.now();
		return new Promise(resolve => {
			const end = result => {
				resolve({
					attempt, path, sentAt, endedAt: performance.now(), ...result,
				});
			};

			const outgoing = sendRequest({
				...this.#front,
				method,
				path,
				agent: this.#agent,
				headers: {
					host: this.#host, 'x-attempt-id': attempt, 'x-deadline-ms': String(deadlineMilliseconds), ...headers,
				},
			}, response => {
				let text = '';
				response.setEncoding('utf8').on('data', part => {
					text += part;
				});
				response.on('error', ignore);
				response.once('close', () => {
					end({
						status: response.statusCode, isWhole: response.complete, seal: response.headers['x-server-seal'], text,
					});
				});
			});
			outgoing.setTimeout(deadlineMilliseconds, () => {
				outgoing.destroy();
			});
			outgoing.on('error', () => {
				end({
					status: 0, isWhole: false, seal: undefined, text: '',
				});
			});
			outgoing.end(method === 'GET' ? undefined : 'body');
		});
	}
}

function ignore() {
	// The close that follows ends the answer.
}
