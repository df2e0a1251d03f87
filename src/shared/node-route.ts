import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type EventHandler, fromNodeHandler} from 'h3';

/** One HTTP/1.1 exchange of `node:http`. */
export type NodeExchange = {
	request: IncomingMessage;
	response: ServerResponse;
};

/**
 * Creates an h3 route from a handler that writes to the Node response directly.
 *
 * Streams need it: the response shows back-pressure and a disconnected caller at once.
 *
 * @param handle - Answers the exchange. The listeners speak HTTP/1.1 only, so the request is an `IncomingMessage`.
 * @returns A handler for `app.get(…)` and the other methods.
 */
export function nodeRoute(handle: (exchange: NodeExchange) => Promise<void>): EventHandler {
	return fromNodeHandler(async (request, response) => {
		await handle({request: request as IncomingMessage, response: response as ServerResponse});
		if (response.writableEnded) {
			response.end = ignoreSecondEnd;
		}
	});
}

/**
 * Replaces `end` of a response that has ended. h3 ends every response once more, and Node would then create an error with a
 * stack trace, which took a twentieth of the time of a short request.
 */
function ignoreSecondEnd(this: ServerResponse, ...rest: unknown[]): ServerResponse {
	const callback = rest.at(-1);
	if (typeof callback === 'function') {
		(callback as () => void)();
	}

	return this;
}
