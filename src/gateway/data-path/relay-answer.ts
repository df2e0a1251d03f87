/** Passes an endpoint's answer on to the client as it comes. */
import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {brokenBodyEnd, judgeBodyEnd, type BodyEnd} from './answer-transfer.js';
import {type EndpointAnswer} from './endpoint-exchange.js';
import {type EventCutter} from './event-cutter.js';
import {EventEnd} from './event-end.js';
import {withoutHopByHop} from './hop-by-hop.js';

/** How an answer ended. `cut`: the endpoint or the connection broke off. */
export type RelayOutcome = 'whole' | 'cut' | 'client-left';

/** How an answer was passed on. */
export type Relayed = {
	outcome: RelayOutcome;
	bodyEnd: BodyEnd;
	/** As they came from the endpoint. */
	bodyBytes: number;
};

/** What is passed on, and where. */
export type Relay = {
	answer: EndpointAnswer;
	response: ServerResponse;
	/** For streams that may be resumed: only whole events are passed on. */
	cutter: EventCutter | undefined;
	/** Told when the first bytes of the body have come. */
	onFirstBytes(): void;
	/** Told of all bytes. */
	onBytes(): void;
	/** Told of an exception while passing on; the answer counts as cut then. */
	onFault(error: unknown): void;
};

/**
 * Passes an answer on.
 *
 * The head goes out with the first bytes of the body, so that an endpoint that breaks off before them can still be
 * replaced by another. A part that was passed on is never taken back: when the answer is cut behind it, the caller of
 * this function resumes the stream or ends the connection without the end of the answer.
 *
 * @param relay - The answer and the client's response.
 * @returns How it ended. After `whole` the response is ended, else it is left open.
 */
export async function relayAnswer({answer, response, cutter, onFirstBytes, onBytes, onFault}: Relay): Promise<Relayed> {
	const {body} = answer;
	const eventEnd = new EventEnd();
	const isEventStream = answer.header('content-type')?.toLowerCase().startsWith('text/event-stream') ?? false;
	return new Promise(resolve => {
		let hasBytes = false;
		let bodyBytes = 0;
		let isDone = false;
		let isLeft = false;
		const bodyEndNow = (): BodyEnd => {
			const connectionEnd = answer.connectionEnd();
			return isLeft && connectionEnd === 'open' ? 'cancelled' : brokenBodyEnd(connectionEnd);
		};

		const finish = (outcome: RelayOutcome): void => {
			if (isDone) {
				return;
			}

			isDone = true;
			response.off('close', leave).off('drain', resume);
			body.off('data', takeGuarded).off('end', endGuarded).off('close', cut);
			body.on('error', ignore);
			resolve({outcome, bodyBytes, bodyEnd: outcome === 'whole' ? 'in-order' : bodyEndNow()});
		};

		const resume = (): void => {
			body.resume();
		};

		const leave = (): void => {
			isLeft = true;
			finish('client-left');
		};

		const pass = (bytes: Buffer): void => {
			writeHeadOnce(answer, response, cutter !== undefined);
			if (bytes.length > 0 && !response.write(bytes)) {
				body.pause();
			}
		};

		const take = (chunk: Buffer): void => {
			onBytes();
			bodyBytes += chunk.length;
			eventEnd.take(chunk);
			const bytes = cutter === undefined ? chunk : cutter.take(chunk).bytes;
			if (!hasBytes && bytes.length > 0) {
				hasBytes = true;
				onFirstBytes();
			}

			if (bytes.length > 0) {
				pass(bytes);
			}
		};

		const end = (): void => {
			const bodyEnd = judgeBodyEnd({
				framing: answer.framing,
				promisedBytes: Number(answer.header('content-length')),
				isComplete: body.complete,
				isTorn: isEventStream && eventEnd.isTorn,
				connectionEnd: answer.connectionEnd(),
			}, bodyBytes);
			if (bodyEnd !== 'in-order') {
				finish('cut');
				return;
			}

			if (!hasBytes) {
				onFirstBytes();
			}

			writeHeadOnce(answer, response, cutter !== undefined);
			response.end(cutter?.rest());
			finish('whole');
		};

		const cut = (): void => {
			finish('cut');
		};

		// An exception in a listener has no caller that could catch it: it would end the process with all of its requests.
		const guarded = <Arguments extends unknown[]>(step: (...given: Arguments) => void) => (...given: Arguments): void => {
			try {
				step(...given);
			} catch (error) {
				onFault(error);
				finish('cut');
			}
		};

		const takeGuarded = guarded(take);
		const endGuarded = guarded(end);
		response.on('close', leave).on('drain', resume);
		body.on('data', takeGuarded).once('end', endGuarded).once('close', cut).once('error', cut);
	});
}

/** A resumed stream ends with another endpoint's events, so the length that the first one states may not be promised. */
const unpromisedInResumable: ReadonlySet<string> = new Set(['content-length']);

function writeHeadOnce(answer: EndpointAnswer, response: ServerResponse, mayBeResumed: boolean): void {
	if (response.headersSent) {
		return;
	}

	try {
		response.writeHead(answer.status, answer.statusText, withoutHopByHop(answer.rawHeaders, answer.header('connection'), mayBeResumed ? unpromisedInResumable : undefined));
	} catch (error) {
		// Node keeps a reason that it refused and would refuse the head of the answer that takes this one's place for it.
		response.statusMessage = '';
		throw error;
	}
}

function ignore(): void {
	// The body was given up; what happens to its connection afterwards changes nothing.
}
