/**
 * Relays an endpoint's answer to the caller as it arrives.
 *
 * An answer with a length that does not arrive in one piece is sent in chunks. Only bytes that are not part of the body distinguish
 * a caller that has closed its sending side from one that has left. There is room for them between chunks, and none within an
 * answer of stated length while its endpoint is silent.
 *
 * No more is read from the endpoint while the caller does not read: usually once the response holds its high-water mark, and after
 * each chunk once this process holds much for its callers.
 */
import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {isTrailer} from '../../shared/is-trailer.js';
import {type OpenAnswer} from '../../serving/open-answer.js';
import {incompleteBodyEnd, classifyBodyEnd, type BodyEnd} from './answer-transfer.js';
import {type EndpointAnswer} from './endpoint-exchange.js';
import {type EventSplitter} from './event-splitter.js';
import {EventBoundaryTracker} from './event-boundary-tracker.js';
import {withoutHopByHop} from './hop-by-hop.js';
import {writePiece} from './write-piece.js';

/** How a relayed answer ended. `cut`: it ended before it was complete, or could not be relayed. */
export type RelayOutcome = 'whole' | 'cut' | 'client-left';

/** What was relayed of an answer. */
export type Relayed = {
	outcome: RelayOutcome;
	bodyEnd: BodyEnd;
	/** Bytes received from the endpoint. */
	bodyBytes: number;
};

/** The answer to relay, and its receiver. */
export type Relay = {
	answer: EndpointAnswer;
	response: ServerResponse;
	/** Present for streams that may be resumed: only complete events are relayed. */
	splitter: EventSplitter | undefined;
	/** Counts what the caller has not read; absent where the memory of the process is not limited. */
	held?: OpenAnswer | undefined;
	/** Called when the first bytes of the body arrive, or at the end of an empty body. */
	onFirstBytes(): void;
	/** Called for each chunk of the body. */
	onBytes(): void;
	/** Called with an exception that was thrown while relaying; the outcome is then `cut`. */
	onFault(error: unknown): void;
};

/**
 * Relays an answer.
 *
 * The head is sent with the first bytes of the body, so that an endpoint that fails before them can still be replaced by
 * another. Bytes that were relayed cannot be withdrawn: if the answer is cut after them, the caller of this function resumes
 * the stream or closes the connection without completing the answer.
 *
 * @param relay - The answer and the response to the caller.
 * @returns How it ended. After `whole` the response is ended, otherwise it is left open.
 */
export async function relayAnswer({answer, response, splitter, held, onFirstBytes, onBytes, onFault}: Relay): Promise<Relayed> {
	const {body} = answer;
	const boundaryTracker = new EventBoundaryTracker();
	const isEventStream = answer.header('content-type')?.toLowerCase().startsWith('text/event-stream') ?? false;
	return new Promise(resolve => {
		let hasBytes = false;
		let bodyBytes = 0;
		let isDone = false;
		let hasCallerDisconnected = false;
		const bodyEndNow = (): BodyEnd => {
			const connectionEnd = answer.connectionEnd();
			return hasCallerDisconnected && connectionEnd === 'open' ? 'cancelled' : incompleteBodyEnd(connectionEnd);
		};

		const finish = (outcome: RelayOutcome): void => {
			if (isDone) {
				return;
			}

			isDone = true;
			response.off('close', onCallerClose).off('drain', resume);
			body.off('data', guardedOnData).off('end', guardedOnEnd).off('close', onClose);
			body.on('error', ignore);
			held?.detach(body);
			resolve({outcome, bodyBytes, bodyEnd: outcome === 'whole' ? 'in-order' : bodyEndNow()});
		};

		const resume = (): void => {
			if (!isDone) {
				body.resume();
				held?.noteRead();
			} else if (response.writableLength === 0) {
				held?.noteRead();
			}
		};

		const onCallerClose = (): void => {
			hasCallerDisconnected = true;
			finish('client-left');
		};

		// A resumed stream ends with another endpoint's events, so the length that the first endpoint states would be wrong.
		const statesLength = (): boolean => splitter === undefined && (
			answer.framing !== 'length' || response.req.httpVersion !== '1.1' || bodyBytes >= Number(answer.header('content-length'))
		);

		const writeBytes = (bytes: Buffer): void => {
			const isFirst = writeHeadOnce(answer, response, statesLength());
			if (held?.pausesAtOnce) {
				body.pause();
				writePiece(response, bytes, isFirst, resume);
				held.noteWritten(true);
				return;
			}

			const isPaused = !writePiece(response, bytes, isFirst);
			if (isPaused) {
				body.pause();
			}

			held?.noteWritten(isPaused);
		};

		const onData = (chunk: Buffer): void => {
			onBytes();
			bodyBytes += chunk.length;
			boundaryTracker.push(chunk);
			const bytes = splitter === undefined ? chunk : splitter.push(chunk).bytes;
			if (!hasBytes && bytes.length > 0) {
				hasBytes = true;
				onFirstBytes();
			}

			if (bytes.length > 0) {
				writeBytes(bytes);
			} else {
				held?.noteWritten(false);
			}

			if (splitter?.isTooLong) {
				finish('cut');
			}
		};

		const onEnd = (): void => {
			if (!isTrailer(body.rawTrailers)) {
				// Whatever follows on the connection may be read in another way than the endpoint meant it.
				body.socket.destroy();
				finish('cut');
				return;
			}

			const bodyEnd = classifyBodyEnd({
				framing: answer.framing,
				promisedBytes: Number(answer.header('content-length')),
				isComplete: body.complete,
				stopsWithinEvent: isEventStream && boundaryTracker.stopsWithinEvent,
				connectionEnd: answer.connectionEnd(),
			}, bodyBytes);
			if (bodyEnd !== 'in-order') {
				finish('cut');
				return;
			}

			if (!hasBytes) {
				onFirstBytes();
			}

			writeHeadOnce(answer, response, statesLength());
			// An empty buffer would be written as one more entry beside the end of the answer.
			const rest = splitter?.flush();
			response.end(rest?.length === 0 ? undefined : rest);
			held?.noteWritten(response.writableLength > 0);
			finish('whole');
		};

		const onClose = (): void => {
			finish('cut');
		};

		// Nothing catches an exception in an event listener: it would end the process with all of its requests.
		const guarded = <Arguments extends unknown[]>(step: (...given: Arguments) => void) => (...given: Arguments): void => {
			try {
				step(...given);
			} catch (error) {
				onFault(error);
				finish('cut');
			}
		};

		const guardedOnData = guarded(onData);
		const guardedOnEnd = guarded(onEnd);
		held?.attach(body, () => splitter?.incompleteBytes ?? 0);
		response.on('close', onCallerClose).on('drain', resume);
		body.on('data', guardedOnData).once('end', guardedOnEnd).once('close', onClose).once('error', onClose);
		// Its connection may have failed with the bytes of the head; then no further event tells its end.
		if (body.destroyed) {
			onClose();
		}
	});
}

const lengthName: ReadonlySet<string> = new Set(['content-length']);

/** Returns whether the head was written now; it then waits for the first bytes of the body. */
function writeHeadOnce(answer: EndpointAnswer, response: ServerResponse, statesLength: boolean): boolean {
	if (response.headersSent) {
		return false;
	}

	try {
		response.writeHead(answer.status, answer.statusText, withoutHopByHop(answer.rawHeaders, answer.header('connection'), statesLength ? undefined : lengthName));
	} catch (error) {
		// Node keeps the reason phrase that it refused, and would refuse the head of a replacement answer because of it.
		response.statusMessage = '';
		throw error;
	}

	return true;
}

function ignore(): void {
	// The relay has ended; what happens to the connection afterwards has no effect.
}
