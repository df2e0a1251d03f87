/** The requests of clients that do not behave: what each kind of crowd sends. */
import {Buffer} from 'node:buffer';
import {type CrowdRequest} from './crowd-client.js';

/**
 * Kinds of crowds.
 *
 * - `whole`: bodies of legal size with a length, all of each at once.
 * - `piecewise`: the same, a piece at a time.
 * - `large-chunks`, `small-chunks`: bodies of legal size in chunks.
 * - `announced`: bodies whose length is announced and far over the limit.
 * - `unannounced`: bodies in chunks that go far over the limit.
 * - `heads`: heads that do not end.
 */
export const crowdKinds = ['whole', 'piecewise', 'large-chunks', 'small-chunks', 'announced', 'unannounced', 'heads'] as const;
export type CrowdKind = typeof crowdKinds[number];

/** Of ten clients that may complete their bodies, one does so; the others stop this number of bytes before the end and stay. */
const missingBytes = 10;
const clientsPerWhole = 10;
const pieceBytes = 20_000;
const piecePauseMilliseconds = 10;
const chunkBytes = 65_536;
const smallChunkBytes = 4;
const smallChunksPerWrite = 4000;
const excessFactor = 100;
const headBytes = 15_000;

/**
 * Creates the request of one client.
 *
 * @param kind - What it sends.
 * @param index - The number of the client in its crowd.
 * @param lines - The request line and the headers of every request.
 * @param maxBodyBytes - The longest body inside the limits.
 */
export function crowdRequest(kind: CrowdKind, index: number, {lines, maxBodyBytes}: {lines: readonly string[]; maxBodyBytes: number}): CrowdRequest {
	const isWhole = index % clientsPerWhole === 0;
	const sentBytes = isWhole ? maxBodyBytes : maxBodyBytes - missingBytes;
	const begin = (...further: string[]): string => [...lines, ...further, '', ''].join('\r\n');
	const withLength = begin(`content-length: ${maxBodyBytes}`);
	const chunked = begin('transfer-encoding: chunked');
	switch (kind) {
		case 'whole': {
			return {head: withLength, pieces: [Buffer.alloc(sentBytes, 'w')], pauseMilliseconds: 0};
		}

		case 'piecewise': {
			return {head: withLength, pieces: bytesInPieces(sentBytes, pieceBytes), pauseMilliseconds: piecePauseMilliseconds};
		}

		case 'large-chunks': {
			return {
				head: chunked, pieces: chunksOf({
					bytes: sentBytes, chunkBytes, perWrite: 1, isWhole,
				}), pauseMilliseconds: 0,
			};
		}

		case 'small-chunks': {
			return {
				head: chunked, pieces: chunksOf({
					bytes: sentBytes, chunkBytes: smallChunkBytes, perWrite: smallChunksPerWrite, isWhole,
				}), pauseMilliseconds: 0,
			};
		}

		case 'announced': {
			const bytes = excessFactor * maxBodyBytes;
			return {head: begin(`content-length: ${bytes}`), pieces: bytesInPieces(bytes, chunkBytes), pauseMilliseconds: 0};
		}

		case 'unannounced': {
			return {
				head: chunked, pieces: chunksOf({
					bytes: excessFactor * maxBodyBytes, chunkBytes, perWrite: 1, isWhole: true,
				}), pauseMilliseconds: 0,
			};
		}

		case 'heads': {
			return {head: `${[...lines, 'x-more: '].join('\r\n')}${'h'.repeat(headBytes)}`, pieces: [], pauseMilliseconds: 0};
		}
	}
}

function * bytesInPieces(bytes: number, longest: number): Generator<Buffer> {
	for (let sent = 0; sent < bytes; sent += longest) {
		yield Buffer.alloc(Math.min(longest, bytes - sent), 'p');
	}
}

/** Chunks with so many bytes together, and the last chunk if the body is to be whole. */
function * chunksOf({bytes, chunkBytes: longest, perWrite, isWhole}: {bytes: number; chunkBytes: number; perWrite: number; isWhole: boolean}): Generator<Buffer> {
	const chunk = chunkOf(longest);
	const write = Buffer.concat(Array.from({length: perWrite}, () => chunk));
	let left = bytes;
	for (; left >= longest * perWrite; left -= longest * perWrite) {
		yield write;
	}

	for (; left > 0; left -= longest) {
		yield chunkOf(Math.min(longest, left));
	}

	if (isWhole) {
		yield Buffer.from('0\r\n\r\n');
	}
}

function chunkOf(bytes: number): Buffer {
	return Buffer.from(`${bytes.toString(16)}\r\n${'c'.repeat(bytes)}\r\n`);
}
