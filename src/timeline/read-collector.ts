import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {encodeFrame, FrameReader} from '../peer/framing/frame-codec.js';
import {type TimelineQuery, type TimelineReply} from './timeline-messages.js';

const connectMilliseconds = 3000;
/** A collector answers from memory; one that sends nothing for so long before it is complete hangs. */
const idleTimeoutMilliseconds = 5000;

/**
 * Asks a running collector.
 *
 * @param address - `IP:port` of the collector.
 * @param query - Which events, and whether to follow.
 * @returns The replies as they arrive; without `follow` they end with the complete one.
 * @throws An error when the collector cannot be reached, sends what is no reply, hangs, or ends before it was complete.
 */
export async function * readCollector(address: string, query: TimelineQuery): AsyncGenerator<TimelineReply> {
	const separator = address.lastIndexOf(':');
	const socket = connect(Number(address.slice(separator + 1)), address.slice(0, separator));
	await once(socket, 'connect', {signal: AbortSignal.timeout(connectMilliseconds)});
	socket.write(encodeFrame(query));
	socket.setTimeout(idleTimeoutMilliseconds, () => {
		socket.destroy(new Error(`${address} sent nothing for ${idleTimeoutMilliseconds} ms`));
	});
	const reader = new FrameReader();
	let isComplete = false;
	for await (const bytes of socket as AsyncIterable<Uint8Array>) {
		const replies = reader.read(Buffer.from(bytes));
		if (replies.isLeft()) {
			throw new Error(`${address} is no collector of the time line`);
		}

		for (const reply of replies.extract() as TimelineReply[]) {
			isComplete ||= reply.isComplete;
			if (isComplete) {
				// Whoever follows waits for events, of which there may be none for hours.
				socket.setTimeout(0);
			}

			yield reply;
		}
	}

	if (!isComplete || query.follow) {
		throw new Error(`${address} ended the connection`);
	}
}
