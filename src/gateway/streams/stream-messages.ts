/**
 * The messages between instances about the origins of streams: frames over a connection from the one that sends records and
 * questions to the one that answers. Answers come in the order of what they answer, so that they need no numbers.
 *
 * Records are packed: 14 bytes each, with a number for the origin that an earlier frame of the connection has defined.
 */
import {Buffer} from 'node:buffer';
import {type OriginRecord} from './origin-records.js';
import {maxOriginLifetimeMilliseconds, streamKeyBytes, type StreamOrigin} from './stream-origin.js';

/** The first frame of a connection, with what all instances share; whoever does not know it gets no answer. */
export type OpenFrame = ['streams', key: string];
/** Defines the number of an origin for the records that follow. It is not answered. */
export type DefinitionFrame = ['define', number: number, service: string, softwareVersion: string];
/** Packed records; see `packRecord`. The answer is `0`. */
export type RecordsFrame = ['put', records: Buffer];
/** Asks at which version a stream began. */
export type QuestionFrame = ['ask', key: Buffer, service: string];
/** Nothing to say; the origin, and how many seconds it is still of use; or the only version that the service has had. */
export type AnswerFrame = 0 | [service: string, softwareVersion: string, remainingSeconds: number] | [softwareVersion: string];

export type RequestFrame = DefinitionFrame | RecordsFrame | QuestionFrame;

/** What a peer knows about a stream. */
export type PeerAnswer = {kind: 'known'; record: OriginRecord} | {kind: 'sole-version'; softwareVersion: string} | {kind: 'unknown'};

/** Numbers of origins on one connection; the number of one that was not used for long is used again. */
export const maxOriginNumbers = 128;
/** Service names and versions have at most this length in the platform's tables. */
export const maxTextLength = 200;
const secondMilliseconds = 1000;
const maxSeconds = maxOriginLifetimeMilliseconds / secondMilliseconds;
export const packedRecordBytes = 2 + streamKeyBytes;

/** Packs a record: the number of its origin, the seconds for which it is still of use, its key. */
export function packRecord({key, remainingMilliseconds}: OriginRecord, originNumber: number): Buffer {
	const packed = Buffer.allocUnsafe(packedRecordBytes);
	packed.writeUInt8(originNumber, 0);
	packed.writeUInt8(secondsOf(remainingMilliseconds), 1);
	packed.write(key, 2, 'base64url');
	return packed;
}

/** Unpacks records; `undefined` if they are malformed or name an origin that was not defined. */
export function unpackRecords(packed: Buffer, origins: ReadonlyMap<number, StreamOrigin>): OriginRecord[] | undefined {
	if (packed.length === 0 || packed.length % packedRecordBytes !== 0) {
		return undefined;
	}

	const records: OriginRecord[] = [];
	for (let offset = 0; offset < packed.length; offset += packedRecordBytes) {
		const origin = origins.get(packed.readUInt8(offset));
		if (origin === undefined) {
			return undefined;
		}

		const key = packed.toString('base64url', offset + 2, offset + packedRecordBytes);
		records.push({key, origin, remainingMilliseconds: Math.min(maxSeconds, packed.readUInt8(offset + 1)) * secondMilliseconds});
	}

	return records;
}

/** Checks a frame that a peer has sent after its first one; `undefined` if it is malformed. */
export function readRequest(frame: unknown): RequestFrame | undefined {
	if (!Array.isArray(frame)) {
		return undefined;
	}

	const [kind, first, second, third] = frame as unknown[];
	if (kind === 'define' && isNumberOfOrigin(first) && isText(second) && isText(third)) {
		return [kind, first, second, third];
	}

	if (kind === 'put' && first instanceof Uint8Array) {
		return [kind, Buffer.from(first)];
	}

	return kind === 'ask' && first instanceof Uint8Array && first.length === streamKeyBytes && isText(second) ? [kind, Buffer.from(first), second] : undefined;
}

export function packAnswer(answer: PeerAnswer): AnswerFrame {
	switch (answer.kind) {
		case 'known': {
			const {origin: {service, softwareVersion}, remainingMilliseconds} = answer.record;
			return [service, softwareVersion, secondsOf(remainingMilliseconds)];
		}

		case 'sole-version': {
			return [answer.softwareVersion];
		}

		case 'unknown': {
			return 0;
		}
	}
}

/** Reads the answer to a question about a stream; `undefined` if it is malformed. */
export function unpackAnswer(frame: unknown, key: string): PeerAnswer | undefined {
	if (frame === 0) {
		return {kind: 'unknown'};
	}

	const [first, softwareVersion, seconds] = Array.isArray(frame) ? frame as unknown[] : [];
	if (isText(first) && isText(softwareVersion) && typeof seconds === 'number' && seconds >= 0) {
		return {kind: 'known', record: {key, origin: {service: first, softwareVersion}, remainingMilliseconds: Math.min(maxSeconds, seconds) * secondMilliseconds}};
	}

	return isText(first) && softwareVersion === undefined ? {kind: 'sole-version', softwareVersion: first} : undefined;
}

function secondsOf(milliseconds: number): number {
	return Math.min(maxSeconds, Math.max(0, Math.ceil(milliseconds / secondMilliseconds)));
}

function isNumberOfOrigin(value: unknown): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0 && value < maxOriginNumbers;
}

function isText(value: unknown): value is string {
	return typeof value === 'string' && value.length <= maxTextLength;
}
