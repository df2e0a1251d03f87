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
import {noFaults, type StandInDefinition} from './stand-in-server.js';

type StoredContent = {piece: BlockGeneration; content: Buffer; seal?: BlockSeal; usedAt: number};

export class CacheStoreStandIn implements StandInDefinition {
	readonly app = new H3();
	readonly faults = {...noFaults, full: false, bytesPerSecond: 0};
	readonly #capacityBytes: number;
	readonly #stored = new Map<string, StoredContent>();
	#uses = 0;
	#reads = 0;

	/** @param capacityBytes - Bytes of block content that it can hold. */
	constructor(capacityBytes: number) {
		this.#capacityBytes = capacityBytes;
		this.app.put('/pieces/:key/:generation', async event => {
			const content = Buffer.from(await event.req.arrayBuffer());
			await this.#simulateTransfer(content);
			if (this.faults.full || this.#usedBytes() + content.length > this.#capacityBytes) {
				throw new HTTPError({status: 507, message: 'the store is full'});
			}

			const block = blockOf(event);
			this.#stored.set(nameOf(block), {piece: block, content, usedAt: this.#uses++});
			event.res.status = 204;
			return '';
		});
		this.app.post('/pieces/:key/:generation/seal', async event => {
			this.#storedContentOf(blockOf(event)).seal = (await readBody<BlockSeal>(event))!;
			event.res.status = 204;
			return '';
		});
		this.app.get('/pieces/:key/:generation', async event => {
			const {content, seal} = this.#storedContentOf(blockOf(event));
			if (seal === undefined) {
				throw new HTTPError({status: 404, message: 'the block is not sealed'});
			}

			this.#reads++;
			await this.#simulateTransfer(content);
			return new Response(new Uint8Array(content), {headers: {'x-length': String(seal.length), 'x-digest': seal.digest}});
		});
		this.app.delete('/pieces/:key/:generation', event => {
			this.#stored.delete(nameOf(blockOf(event)));
			event.res.status = 204;
			return '';
		});
		this.app.post('/find', async event => {
			const {pieceKeys} = (await readBody<{pieceKeys: string[]}>(event))!;
			return {pieces: this.#leadingBlocks(pieceKeys)};
		});
		this.app.get('/oldest', event => {
			const count = Number(getQuery(event).count ?? 1);
			const sealed = [...this.#stored.values()].filter(({seal}) => seal !== undefined);
			return {pieces: sealed.toSorted((left, right) => left.usedAt - right.usedAt).slice(0, count).map(({piece, seal}) => ({piece, seal}))};
		});
	}

	counts(): Record<string, number> {
		return {pieces: this.#stored.size, usedBytes: this.#usedBytes(), reads: this.#reads};
	}

	#leadingBlocks(pieceKeys: readonly string[]): SealedBlock[] {
		const found: SealedBlock[] = [];
		for (const pieceKey of pieceKeys) {
			const held = [...this.#stored.values()].find(({piece, seal}) => piece.pieceKey === pieceKey && seal !== undefined);
			if (held === undefined) {
				break;
			}

			held.usedAt = this.#uses++;
			found.push({piece: held.piece, seal: held.seal!});
		}

		return found;
	}

	#usedBytes(): number {
		return [...this.#stored.values()].reduce((sum, {content}) => sum + content.length, 0);
	}

	/** Waits for the time that a link with the limited bandwidth takes to transfer the content. */
	async #simulateTransfer(content: Buffer): Promise<void> {
		if (this.faults.bytesPerSecond > 0) {
			await delay(1000 * content.length / this.faults.bytesPerSecond);
		}
	}

	#storedContentOf(block: BlockGeneration): StoredContent {
		const held = this.#stored.get(nameOf(block));
		if (held === undefined) {
			throw new HTTPError({status: 404, message: 'no such block'});
		}

		return held;
	}
}

function blockOf(event: Parameters<typeof getRouterParam>[0]): BlockGeneration {
	return {pieceKey: getRouterParam(event, 'key') ?? '', generation: getRouterParam(event, 'generation') ?? ''};
}

function nameOf({pieceKey, generation}: BlockGeneration): string {
	return `${pieceKey}/${generation}`;
}
