/** The HTTP client for the platform's cache stores: lists and follows their content, and orders them to free blocks. */
import {type Either, Left, Right} from 'purify-ts/Either';
import * as zod from 'zod';
import {describeError, exchangeJson, type JsonExchange} from '../adapters/http-client.js';
import {
	type CacheStoreControl, type FreeOrder, type StoredBlock, type StoreEvents, type StoreListing,
} from '../ports/cache-store-control.js';

/** A store answers within a few milliseconds. After this time the call is treated as lost. */
const callTimeoutMilliseconds = 800;

// Salt, id, tokens; a model or the number of reserved tokens may follow.
const blockSchema = zod.tuple([zod.string(), zod.string(), zod.number()]).rest(zod.unknown());
const listSchema = zod.object({
	boot_epoch: zod.number(),
	next: zod.number(),
	held: zod.array(blockSchema),
	// Salt, id, number of complete tokens, number of reserved tokens.
	partial: zod.array(zod.tuple([zod.string(), zod.string(), zod.number(), zod.number()])).default([]),
});
const eventsSchema = zod.object({
	boot_epoch: zod.number(),
	next: zod.number(),
	lost: zod.boolean(),
	// Number, sign (+ added, - removed), salt, id, tokens, model.
	events: zod.array(zod.tuple([zod.number(), zod.enum(['+', '-']), zod.string(), zod.string(), zod.number()]).rest(zod.unknown())),
	clock_ms: zod.number().optional(),
});

export class PlatformCacheStore implements CacheStoreControl {
	async list(address: string): Promise<Either<string, StoreListing>> {
		const answer = await get(`http://${address}/kv-list`, listSchema, {timeoutMilliseconds: callTimeoutMilliseconds});
		return answer.map(({boot_epoch: epoch, next, held, partial}) => ({
			epoch,
			next,
			parts: held.map(([salt, id, tokens]) => ({salt, id, tokens})),
			partial: partial.map(([salt, id, , tokens]) => ({salt, id, tokens})),
		}));
	}

	async events(address: string, since: number, waitMilliseconds: number): Promise<Either<string, StoreEvents>> {
		const url = `http://${address}/kv-events?since=${since}`;
		const answer = await get(url, eventsSchema, {
			headers: {'wait-ms': String(waitMilliseconds)}, timeoutMilliseconds: waitMilliseconds + callTimeoutMilliseconds, isShort: true,
		});
		return answer.map(({boot_epoch: epoch, next, lost, events, clock_ms: clockMilliseconds}) => ({
			epoch, next, isIncomplete: lost, added: blocksOf(events, '+'), removed: blocksOf(events, '-'), clockMilliseconds,
		}));
	}

	async free(address: string, {parts, epoch, untilMilliseconds}: FreeOrder): Promise<Either<string, void>> {
		try {
			const {status} = await exchangeJson({
				method: 'POST',
				url: `http://${address}/kv-free`,
				body: {parts: parts.map(({salt, id}) => [salt, id]), boot_epoch: epoch, until_ms: Math.floor(untilMilliseconds)},
				timeoutMilliseconds: callTimeoutMilliseconds,
				isShort: true,
			});
			return status >= 200 && status < 300 ? Right(undefined) : Left(`status ${status}`);
		} catch (error) {
			return Left(describeError(error));
		}
	}
}

async function get<Schema extends zod.ZodType>(url: string, schema: Schema, options: Pick<JsonExchange, 'headers' | 'timeoutMilliseconds' | 'isShort'>): Promise<Either<string, zod.infer<Schema>>> {
	try {
		const {status, body} = await exchangeJson({
			method: 'GET', url, ...options,
		});
		const checked = schema.safeParse(body);
		return status === 200 && checked.success ? Right(checked.data) : Left(`status ${status}${checked.success ? '' : ` ${checked.error.message}`}`);
	} catch (error) {
		return Left(describeError(error));
	}
}

/** Returns the blocks whose last event has the given sign: a block that was added and then removed counts as removed. */
function blocksOf(events: zod.infer<typeof eventsSchema>['events'], sign: '+' | '-'): StoredBlock[] {
	const lastEvents = new Map<string, {sign: '+' | '-'; block: StoredBlock}>();
	for (const [, kind, salt, id, tokens] of events) {
		lastEvents.set(`${salt}|${id}`, {sign: kind, block: {salt, id, tokens}});
	}

	return [...lastEvents.values()].filter(entry => entry.sign === sign).map(({block}) => block);
}
