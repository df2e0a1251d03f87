/**
 * Stands in for a cache store instance. `PUT /pieces/{key}/{generation}` writes a block, `POST …/seal` seals it with its
 * length and digest, `GET` reads sealed blocks only, `DELETE` frees one, `POST /find` returns the sealed blocks that a
 * prompt starts with, and `GET /oldest` returns the least recently used ones. Its capacity is limited; a full store
 * answers 507.
 */
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {
	getQuery, getRouterParam, H3, HTTPError, readBody,
} from 'h3';
import {type BlockGeneration, type BlockSeal, type SealedBlock} from '../ports/cache-store.js';
import {noFaults, type StandInKind} from './stand-in-server.js';

type Held = {piece: BlockGeneration; content: Buffer; seal?: BlockSeal; usedAt: number};

export class CacheStoreStandIn implements StandInKind {
	readonly app = new H3();
	readonly faults = {...noFaults, full: false, bytesPerSecond: 0};
	readonly #capacityBytes: number;
	readonly #held = new Map<string, Held>();
	#uses = 0;
	#reads = 0;

	/** @param capacityBytes - Bytes of block content that it can hold. */
	constructor(capacityBytes: number) {
		this.#capacityBytes = capacityBytes;
		this.app.put('/pieces/:key/:generation', async event => {
			const content = Buffer.from(await event.req.arrayBuffer());
			await this.#pass(content);
			if (this.faults.full || this.#usedBytes() + content.length > this.#capacityBytes) {
				throw new HTTPError({status: 507, message: 'the store is full'});
			}

			const piece = pieceOf(event);
			this.#held.set(nameOf(piece), {piece, content, usedAt: this.#uses++});
			event.res.status = 204;
			return '';
		});
		this.app.post('/pieces/:key/:generation/seal', async event => {
			this.#heldOf(pieceOf(event)).seal = (await readBody<BlockSeal>(event))!;
			event.res.status = 204;
			return '';
		});
		this.app.get('/pieces/:key/:generation', async event => {
			const {content, seal} = this.#heldOf(pieceOf(event));
			if (seal === undefined) {
				throw new HTTPError({status: 404, message: 'the block is not sealed'});
			}

			this.#reads++;
			await this.#pass(content);
			return new Response(new Uint8Array(content), {headers: {'x-length': String(seal.length), 'x-digest': seal.digest}});
		});
		this.app.delete('/pieces/:key/:generation', event => {
			this.#held.delete(nameOf(pieceOf(event)));
			event.res.status = 204;
			return '';
		});
		this.app.post('/find', async event => {
			const {pieceKeys} = (await readBody<{pieceKeys: string[]}>(event))!;
			return {pieces: this.#leading(pieceKeys)};
		});
		this.app.get('/oldest', event => {
			const count = Number(getQuery(event).count ?? 1);
			const sealed = [...this.#held.values()].filter(({seal}) => seal !== undefined);
			return {pieces: sealed.toSorted((left, right) => left.usedAt - right.usedAt).slice(0, count).map(({piece, seal}) => ({piece, seal}))};
		});
	}

	counts(): Record<string, number> {
		return {pieces: this.#held.size, usedBytes: this.#usedBytes(), reads: this.#reads};
	}

	#leading(pieceKeys: readonly string[]): SealedBlock[] {
		const found: SealedBlock[] = [];
		for (const pieceKey of pieceKeys) {
			const held = [...this.#held.values()].find(({piece, seal}) => piece.pieceKey === pieceKey && seal !== undefined);
			if (held === undefined) {
				break;
			}

			held.usedAt = this.#uses++;
			found.push({piece: held.piece, seal: held.seal!});
		}

		return found;
	}

	#usedBytes(): number {
		return [...this.#held.values()].reduce((sum, {content}) => sum + content.length, 0);
	}

	/** Waits for the time that a link with the limited bandwidth takes to transfer the content. */
	async #pass(content: Buffer): Promise<void> {
		if (this.faults.bytesPerSecond > 0) {
			await delay(1000 * content.length / this.faults.bytesPerSecond);
		}
	}

	#heldOf(piece: BlockGeneration): Held {
		const held = this.#held.get(nameOf(piece));
		if (held === undefined) {
			throw new HTTPError({status: 404, message: 'no such block'});
		}

		return held;
	}
}

function pieceOf(event: Parameters<typeof getRouterParam>[0]): BlockGeneration {
	return {pieceKey: getRouterParam(event, 'key') ?? '', generation: getRouterParam(event, 'generation') ?? ''};
}

function nameOf({pieceKey, generation}: BlockGeneration): string {
	return `${pieceKey}/${generation}`;
}
