import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {encodeFrame, FrameReader} from '../peer/framing/frame-codec.js';
import {type TimelineQuery, type TimelineReply} from './timeline-messages.js';

const connectMilliseconds = 3000;
/** A collector answers from memory. One that sends nothing for this long before its answer is complete counts as hanging. */
const idleTimeoutMilliseconds = 5000;

/**
 * Queries a running collector.
 *
 * @param address - `IP:port` of the collector.
 * @param query - The filter for events, and whether to follow.
 * @returns The replies as they arrive; without `follow` they end with the complete one.
 * @throws If the collector cannot be reached, sends an invalid reply, hangs, or disconnects before the complete reply.
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
			throw new Error(`${address} is not a timeline collector`);
		}

		for (const reply of replies.extract() as TimelineReply[]) {
			isComplete ||= reply.isComplete;
			if (isComplete) {
				// A follower waits for new events, and none may arrive for hours.
				socket.setTimeout(0);
			}

			yield reply;
		}
	}

	if (!isComplete || query.follow) {
		throw new Error(`${address} ended the connection`);
	}
}
