/** The HTTP client for cache stores. Paths: `/pieces/{key}/{generation}` and `…/seal`, `/find`, `/oldest`. */
import {Buffer} from 'node:buffer';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type Dispatcher} from 'undici';
import {
	type CacheStore, type CacheStoreFailure, type BlockGeneration, type BlockSeal, type SealedBlock,
} from '../ports/cache-store.js';
import {verifyBlock} from '../protocol/cache/block-seal.js';
import {connectionPool, describeError} from './http-client.js';
import {readWholeJson} from './whole-body.js';

const timeoutMilliseconds = 2000;
/** A caller's request waits for this query. A slower store is treated as if it had no block. */
const findTimeoutMilliseconds = 100;

type Exchange = {method: 'GET' | 'PUT' | 'POST' | 'DELETE'; path: string; body?: Buffer | string; timeoutMilliseconds?: number};

type Answer = Dispatcher.ResponseData;

type AnswerReader<Value> = (answer: Answer) => Promise<Either<CacheStoreFailure, Value>>;

export class HttpCacheStore implements CacheStore {
	async write(address: string, block: BlockGeneration, content: Buffer): Promise<Either<CacheStoreFailure, void>> {
		return exchange(address, {method: 'PUT', path: pathOf(block), body: content}, confirmWrite);
	}

	async seal(address: string, block: BlockGeneration, seal: BlockSeal): Promise<Either<CacheStoreFailure, void>> {
		return exchange(address, {method: 'POST', path: `${pathOf(block)}/seal`, body: JSON.stringify(seal)}, confirmWrite);
	}

	async read(address: string, block: BlockGeneration, seal: BlockSeal): Promise<Either<CacheStoreFailure, Buffer>> {
		return exchange(address, {method: 'GET', path: pathOf(block)}, async ({statusCode, headers, body}) => {
			// The seal was made before this read, so it also proves that the block is complete.
			const content = Buffer.from(await body.arrayBuffer());
			return statusCode === 200
				? verifyBlock(seal, {length: Number(headers['x-length']), digest: String(headers['x-digest'])}, content)
				: Left(failureOf(statusCode));
		});
	}

	async findBlocks(address: string, blockKeys: readonly string[]): Promise<Either<CacheStoreFailure, SealedBlock[]>> {
		return exchange(address, {
			method: 'POST', path: '/find', body: JSON.stringify({pieceKeys: blockKeys}), timeoutMilliseconds: findTimeoutMilliseconds,
		}, readList);
	}

	async leastRecentlyUsed(address: string, count: number): Promise<Either<CacheStoreFailure, SealedBlock[]>> {
		return exchange(address, {method: 'GET', path: `/oldest?count=${count}`}, readList);
	}

	async free(address: string, block: BlockGeneration): Promise<Either<CacheStoreFailure, void>> {
		return exchange(address, {method: 'DELETE', path: pathOf(block)}, confirmWrite);
	}
}

function pathOf({pieceKey, generation}: BlockGeneration): string {
	return `/pieces/${encodeURIComponent(pieceKey)}/${encodeURIComponent(generation)}`;
}

/**
 * Sends a request and reads the answer. The answer is read within the `try` block because a truncated list cannot be parsed as
 * JSON: if the error were thrown out of this port, a prompt would fail that any engine could serve without the store.
 */
async function exchange<Value>(address: string, {method, path, body, ...limits}: Exchange, readAnswer: AnswerReader<Value>): Promise<Either<CacheStoreFailure, Value>> {
	try {
		const answer = await connectionPool.request({
			origin: `http://${address}`, path, method, body: body ?? null, headers: {'content-type': typeof body === 'string' ? 'application/json' : 'application/octet-stream'}, signal: AbortSignal.timeout(limits.timeoutMilliseconds ?? timeoutMilliseconds),
		});
		return await readAnswer(answer);
	} catch (error) {
		return Left({kind: 'unavailable', detail: describeError(error)});
	}
}

async function readList(answer: Answer): Promise<Either<CacheStoreFailure, SealedBlock[]>> {
	if (answer.statusCode !== 200) {
		return readFailure(answer);
	}

	const {pieces} = await readWholeJson('GET', answer) as unknown as {pieces: SealedBlock[]};
	return Right(pieces);
}

async function confirmWrite(answer: Answer): Promise<Either<CacheStoreFailure, void>> {
	if (answer.statusCode !== 204) {
		return readFailure(answer);
	}

	await answer.body.dump();
	return Right(undefined);
}

async function readFailure({statusCode, body}: Answer): Promise<Either<CacheStoreFailure, never>> {
	await body.dump();
	return Left(failureOf(statusCode));
}

function failureOf(status: number): CacheStoreFailure {
	if (status === 404) {
		return {kind: 'absent'};
	}

	return status === 507 ? {kind: 'full'} : {kind: 'unavailable', detail: `status ${status}`};
}
