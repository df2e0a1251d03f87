/**
 * Collects the pieces of a body that arrives. Each buffer takes some 500 bytes beside its content, so a body of 72 KB that arrives a
 * byte at a time would take 38 MB: small pieces are copied into blocks.
 */
import {Buffer} from 'node:buffer';

/** Pieces from this length on are kept as they are. */
const minPieceBytes = 2048;
const minBlockBytes = 512;
const maxBlockBytes = 16_384;

export class BodyPieces {
	/** The length of the body so far. */
	length = 0;
	/** The memory that holds it, including the free part of the last block. */
	heldBytes = 0;
	readonly #pieces: Buffer[] = [];
	#block: Buffer | undefined;
	#usedBytes = 0;

	/** Adds the next piece. */
	push(piece: Buffer): void {
		if (piece.length >= minPieceBytes || this.length === 0) {
			this.#closeBlock();
			this.#pieces.push(piece);
			this.heldBytes += piece.length;
		} else {
			this.#copy(piece);
		}

		this.length += piece.length;
	}

	/** Returns the whole body. */
	toBuffer(): Buffer {
		this.#closeBlock();
		return this.#pieces.length === 1 ? this.#pieces[0]! : Buffer.concat(this.#pieces, this.length);
	}

	#copy(piece: Buffer): void {
		let copied = 0;
		while (copied < piece.length) {
			if (this.#block === undefined || this.#usedBytes === this.#block.length) {
				this.#closeBlock();
				// As much as the body has so far, so that the free part is never more than half of what is held.
				this.#block = Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, Math.max(minBlockBytes, this.length)));
				this.heldBytes += this.#block.length;
			}

			const bytes = piece.copy(this.#block, this.#usedBytes, copied);
			this.#usedBytes += bytes;
			copied += bytes;
		}
	}

	#closeBlock(): void {
		if (this.#block !== undefined) {
			this.#pieces.push(this.#block.subarray(0, this.#usedBytes));
			this.#block = undefined;
			this.#usedBytes = 0;
		}
	}
}
