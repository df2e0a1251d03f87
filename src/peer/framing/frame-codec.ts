/**
 * Frames between our own processes: a length of four bytes, big-endian, and that many bytes of CBOR. A frame longer than
 * the limit is rejected before its body is read, so that a faulty peer cannot exhaust the memory.
 */
import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {type Either, Left, Right} from 'purify-ts/Either';
import {BodyPieces} from '../../serving/body-pieces.js';

/** The maximum length of a frame's body. */
export const frameLimitBytes = 1_048_576;

const lengthBytes = 4;
/** Without `mapsAsObjects`, a `Map` gets no tag: it is encoded as an object is, and decoded as one. */
const encoder = new Encoder({useRecords: false, mapsAsObjects: false});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

/** Why bytes are not valid frames. Their connection cannot be used any more. */
export type FrameError = {kind: 'too-long'; length: number} | {kind: 'malformed'; detail: string};

/**
 * Encodes a value as a frame.
 *
 * @param value - Any value that CBOR can carry.
 * @returns The bytes of the frame.
 */
export function encodeFrame(value: unknown): Buffer {
	return frameOf(encoder.encode(value));
}

/**
 * Prepends the length to a body.
 *
 * @param body - Encoded bytes, at most `frameLimitBytes`.
 * @returns The bytes of the frame.
 */
export function frameOf(body: Buffer): Buffer {
	const frame = Buffer.allocUnsafe(lengthBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, lengthBytes);
	return frame;
}

/** Collects the bytes of one connection and returns the values of complete frames. */
export class FrameReader {
	/** The bytes after the last complete frame. */
	#pieces = new BodyPieces();
	/** How many bytes the next frame has, as far as known. */
	#neededBytes = lengthBytes;
	readonly #decode: (body: Buffer) => unknown;

	/** @param decode - Decodes a body into its value; plain CBOR by default. */
	constructor(decode: (body: Buffer) => unknown = body => decoder.decode(body)) {
		this.#decode = decode;
	}

	/**
	 * Appends the next bytes of the connection. Takes time in proportion to these bytes and to the frames that they complete.
	 *
	 * @param bytes - Bytes in the order in which they arrived.
	 * @returns The values of the frames that these bytes complete, or what is wrong.
	 */
	read(bytes: Buffer): Either<FrameError, unknown[]> {
		this.#pieces.push(bytes);
		if (this.#pieces.length < this.#neededBytes) {
			return Right([]);
		}

		const collected = this.#pieces.toBuffer();
		const values: unknown[] = [];
		let offset = 0;
		this.#neededBytes = lengthBytes;
		while (collected.length - offset >= lengthBytes) {
			const length = collected.readUInt32BE(offset);
			if (length > frameLimitBytes) {
				return Left({kind: 'too-long', length});
			}

			const end = offset + lengthBytes + length;
			if (collected.length < end) {
				this.#neededBytes = lengthBytes + length;
				break;
			}

			try {
				values.push(this.#decode(collected.subarray(offset + lengthBytes, end)));
			} catch (error) {
				return Left({kind: 'malformed', detail: String(error)});
			}

			offset = end;
		}

		this.#pieces = new BodyPieces();
		if (offset < collected.length) {
			this.#pieces.push(collected.subarray(offset));
		}

		return Right(values);
	}
}
