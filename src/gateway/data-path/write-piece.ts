/**
 * Writes the pieces of an answer's body to its caller, each with one write of one buffer.
 *
 * node:http writes a chunk as four entries (its size, a line end, its data, a line end), and the first one after two more for the
 * head. Each entry costs objects, callbacks and an element of a `writev`, which is more than the copy of a short piece. So a short
 * piece is given to node:http with its size and line ends, which then counts, queues and corks it like any other bytes.
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';

/** Longer pieces are written without a copy. */
const maxCopiedBytes = 8192;
const lineEndBytes = 2;

/**
 * Writes a piece of the body of an answer whose head has been given to `writeHead`. The bytes on the connection, the result, `drain`
 * and `writableLength` are those of `response.write(piece, onWritten)`.
 *
 * @param response - The answer.
 * @param piece - The next bytes of the body.
 * @param isFirst - Whether the head waits for these bytes. They are then appended to it as text, so that both are one buffer.
 * @param onWritten - Called when the operating system has taken the piece.
 * @returns False if the caller should wait for `drain`.
 */
export function writePiece(response: ServerResponse, piece: Buffer, isFirst: boolean, onWritten?: () => void): boolean {
	// An empty chunk would end the answer, so that a part of it would look complete.
	if (piece.length === 0 || piece.length > maxCopiedBytes) {
		return response.write(piece, onWritten);
	}

	if (!response.chunkedEncoding) {
		return isFirst ? response.write(piece.toString('latin1'), 'latin1', onWritten) : response.write(piece, onWritten);
	}

	// Without the flag node:http adds nothing. It is set again at once: it decides how the answer ends, and how a caller that has
	// closed its sending side is probed.
	response.chunkedEncoding = false;
	try {
		return isFirst
			? response.write(`${piece.length.toString(16)}\r\n${piece.toString('latin1')}\r\n`, 'latin1', onWritten)
			: response.write(chunkOf(piece), onWritten);
	} finally {
		response.chunkedEncoding = true;
	}
}

/** A chunk of the chunked coding: the size in hexadecimal, a line end, the data, a line end. */
function chunkOf(data: Buffer): Buffer {
	const size = data.length.toString(16);
	const start = size.length + lineEndBytes;
	const chunk = Buffer.allocUnsafe(start + data.length + lineEndBytes);
	chunk.write(`${size}\r\n`, 'latin1');
	chunk.set(data, start);
	chunk.write('\r\n', start + data.length, 'latin1');
	return chunk;
}
