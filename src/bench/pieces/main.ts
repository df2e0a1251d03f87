/**
 * `npm run bench:pieces`: measures how the time to collect bytes depends on the sizes of the whole and of its pieces.
 *
 * An event, a frame and a body arrive in pieces of one size and are never complete. Where a collector takes time in proportion to
 * what it holds with each piece, four times the bytes take sixteen times as long, and the process answers nobody meanwhile. Each
 * line of the report is JSON, with times in milliseconds. A measurement ends after 20 seconds; `collected` then is less than `total`.
 */
import {Buffer} from 'node:buffer';
import {EventSplitter} from '../../gateway/data-path/event-splitter.js';
import {FrameReader} from '../../peer/framing/frame-codec.js';
import {BodyPieces} from '../../serving/body-pieces.js';

const mebibyte = 1_048_576;
const pieceSizes = [1, 65, 16_384] as const;
const maxMilliseconds = 20_000;
/** How often the time is checked, in pieces. */
const checkedPieces = 256;

/** A collector of bytes, how it is made, and the sizes that it takes. */
type Subject = {
	name: string;
	create: () => (piece: Buffer) => unknown;
	totals: readonly number[];
	/** The first bytes, which say that more will follow. */
	head: Buffer;
};

/** A frame's length is limited, so it is measured up to that limit. */
const frameHead = Buffer.alloc(4);
frameHead.writeUInt32BE(mebibyte, 0);

const subjects: readonly Subject[] = [
	{
		name: 'event', head: Buffer.from('data: '), totals: [mebibyte, 4 * mebibyte, 16 * mebibyte], create() {
			const splitter = new EventSplitter();
			return piece => splitter.push(piece);
		},
	},
	{
		name: 'frame', head: frameHead, totals: [mebibyte / 16, mebibyte / 4, mebibyte], create() {
			const reader = new FrameReader();
			return piece => reader.read(piece);
		},
	},
	{
		name: 'body', head: Buffer.alloc(0), totals: [mebibyte, 4 * mebibyte, 16 * mebibyte], create() {
			const pieces = new BodyPieces();
			return piece => {
				pieces.push(piece);
			};
		},
	},
];

function measure({create, head}: Subject, total: number, pieceBytes: number): {milliseconds: number; collected: number} {
	const push = create();
	push(head);
	const bytes = Buffer.alloc(mebibyte, 'x');
	const startedAt = performance.now();
	let collected = head.length;
	for (let count = 0; collected + pieceBytes < total; count++) {
		const from = collected % (mebibyte - pieceBytes);
		push(bytes.subarray(from, from + pieceBytes));
		collected += pieceBytes;
		if (count % checkedPieces === 0 && performance.now() - startedAt > maxMilliseconds) {
			break;
		}
	}

	return {milliseconds: Math.round((performance.now() - startedAt) * 10) / 10, collected};
}

for (const subject of subjects) {
	for (const pieceBytes of pieceSizes) {
		for (const total of subject.totals) {
			console.log(JSON.stringify({
				collector: subject.name, pieceBytes, total, ...measure(subject, total, pieceBytes),
			}));
		}
	}
}
