/**
 * Stands in for a cache store instance. `PUT /pieces/{key}/{generation}` writes, `POST …/seal` seals with length and
 * digest, `GET` reads only what is sealed, `DELETE` frees. Its room is bounded; a full store refuses with 507.
 */
import {Buffer} from 'node:buffer';
import {
	getRouterParam, H3, HTTPError, readBody,
} from 'h3';
import {type PieceSeal} from '../ports/cache-store.js';
import {noFaults, type StandInKind} from './stand-in-server.js';

type StoredPiece = {content: Buffer; seal?: PieceSeal};

export function createCacheStoreStandIn(capacityBytes: number): StandInKind {
	const app = new H3();
	const faults = {...noFaults, full: false, bytesPerSecond: 0};
	const pieces = new Map<string, StoredPiece>();
	const used = (): number => [...pieces.values()].reduce((sum, piece) => sum + piece.content.length, 0);
	const nameOf = (event: Parameters<typeof getRouterParam>[0]): string =>
		`${getRouterParam(event, 'key') ?? ''}/${getRouterParam(event, 'generation') ?? ''}`;

	app.put('/pieces/:key/:generation', async event => {
		const content = Buffer.from(await event.req.arrayBuffer());
		if (faults.full || used() + content.length > capacityBytes) {
			throw new HTTPError({status: 507, message: 'the store is full'});
		}

		pieces.set(nameOf(event), {content});
		event.res.status = 204;
		return '';
	});
	app.post('/pieces/:key/:generation/seal', async event => {
		const piece = pieces.get(nameOf(event));
		if (piece === undefined) {
			throw new HTTPError({status: 404, message: 'no such piece'});
		}

		piece.seal = (await readBody<PieceSeal>(event))!;
		event.res.status = 204;
		return '';
	});
	app.get('/pieces/:key/:generation', event => {
		const piece = pieces.get(nameOf(event));
		if (piece?.seal === undefined) {
			throw new HTTPError({status: 404, message: 'no sealed piece of this name'});
		}

		return new Response(new Uint8Array(piece.content), {headers: {'x-length': String(piece.seal.length), 'x-digest': piece.seal.digest}});
	});
	app.delete('/pieces/:key/:generation', event => {
		pieces.delete(nameOf(event));
		event.res.status = 204;
		return '';
	});
	return {app, faults, counts: () => ({pieces: pieces.size, usedBytes: used()})};
}
