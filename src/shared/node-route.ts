import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type EventHandler, fromNodeHandler} from 'h3';

/** One HTTP exchange over HTTP/1.1, as `node:http` gives it. */
export type NodeExchange = {
	request: IncomingMessage;
	response: ServerResponse;
};

/**
 * Makes an h3 route of a handler that writes to the Node response itself.
 *
 * Streams use it: back-pressure and a caller who hangs up are seen on the response at once.
 *
 * @param handle - Answers the exchange. Our listeners speak HTTP/1.1 only, so the request is an `IncomingMessage`.
 * @returns A handler for `app.get(…)` and its kin.
 */
export function nodeRoute(handle: (exchange: NodeExchange) => Promise<void>): EventHandler {
	return fromNodeHandler(async (request, response) => {
		await handle({request: request as IncomingMessage, response: response as ServerResponse});
		if (response.writableEnded) {
			response.end = endAgain;
		}
	});
}

/**
 * Stands for `end` on a response that is ended. h3 ends every response once more, and Node then makes an error with its
 * stack trace, which was a twentieth of the time of a short request.
 */
function endAgain(this: ServerResponse, ...rest: unknown[]): ServerResponse {
	const callback = rest.at(-1);
	if (typeof callback === 'function') {
		(callback as () => void)();
	}

	return this;
}
