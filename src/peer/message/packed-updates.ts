/**
 * Packs load updates into ten bytes each. They are most of the traffic between instances: as CBOR maps they took 22 bytes,
 * with which a cell of eight instances with 16 endpoints each exceeded its share of 4 KB a second.
 */
import {Buffer} from 'node:buffer';
import {type LoadUpdate} from './peer-message.js';

const updateBytes = 10;
const maxByte = 255;
const maxShort = 65_535;
const prefillUnitTokens = 64;

export const packedUpdateBytes = updateBytes;

/**
 * Packs updates. A number too large for its field becomes the largest that fits: such an endpoint is full in either case.
 *
 * @param updates - The updates.
 * @returns Ten bytes for each update.
 */
export function packUpdates(updates: readonly LoadUpdate[]): Buffer {
	const packed = Buffer.alloc(updates.length * updateBytes);
	for (const [index, update] of updates.entries()) {
		const start = index * updateBytes;
		packed.writeUInt32BE(update.endpoint, start);
		packed.writeUInt8(Math.min(maxByte, update.running), start + 4);
		packed.writeUInt16BE(Math.min(maxShort, update.waiting), start + 5);
		packed.writeUInt16BE(Math.min(maxShort, Math.ceil(update.waitingPrefillTokens / prefillUnitTokens)), start + 7);
		packed.writeUInt8(Math.min(maxByte, Math.ceil(update.kvShare * maxByte)), start + 9);
	}

	return packed;
}

/**
 * Unpacks updates.
 *
 * @param packed - The received bytes; an incomplete update at the end is ignored.
 * @returns The updates.
 */
export function unpackUpdates(packed: Buffer): LoadUpdate[] {
	return Array.from({length: Math.floor(packed.length / updateBytes)}, (_, index) => {
		const start = index * updateBytes;
		return {
			endpoint: packed.readUInt32BE(start),
			running: packed.readUInt8(start + 4),
			waiting: packed.readUInt16BE(start + 5),
			waitingPrefillTokens: packed.readUInt16BE(start + 7) * prefillUnitTokens,
			kvShare: packed.readUInt8(start + 9) / maxByte,
		};
	});
}
