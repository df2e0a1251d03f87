/** Drains the body of an endpoint's answer that nobody reads, so that its connection can be reused. */
import {type Buffer} from 'node:buffer';
import {type ClientRequest, type IncomingMessage} from 'node:http';

/** Timeout for draining an unread body before its connection is closed; without it a stalled endpoint would leak one. */
const discardMilliseconds = 500;
/** Longer bodies are not drained: reading them costs more than a new connection. */
const discardBytes = 131_072;

/** Drains a body; closes its connection if the body exceeds the time limit or `discardBytes`. */
export function discardUnreadBody(body: IncomingMessage, outgoing: ClientRequest, withinMilliseconds = discardMilliseconds): void {
	if (body.destroyed) {
		return;
	}

	const timer = setTimeout(() => {
		outgoing.destroy();
	}, withinMilliseconds);
	let bytes = 0;
	body.on('data', (chunk: Buffer) => {
		bytes += chunk.length;
		if (bytes > discardBytes) {
			outgoing.destroy();
		}
	});
	body.once('close', () => {
		clearTimeout(timer);
	});
	body.resume();
}
