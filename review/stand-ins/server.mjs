/* eslint camelcase: "off" -- the platform's names have underscores */
/**
 * A stand-in of a server of the platform: registers itself in the store, renews its row, and answers requests. A plain server works
 * for some time; a model server sends events. It reports what it runs to the process that started it.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';

const options = JSON.parse(process.argv[2]);
const {
	id, address, service, zone, slots, workMilliseconds, model, spoiledEvery = Number.POSITIVE_INFINITY, garbage, extraEvery = Number.POSITIVE_INFINITY, extraDelayMilliseconds, spoils,
} = options;
const born = Date.now();
const eventMilliseconds = 10;
const eventsOfStream = 6;
let seq = 0;
let running = 0;
let runs = 0;
/** The parts that this model server has cached, by salt and id, with the tenant of the run that made each. */
const cached = new Map();
const events = [];

const server = createServer(async (request, response) => {
	const body = await text(request).catch(ignore);
	if (body !== undefined) {
		await answer(request, response);
	}
});
server.keepAliveTimeout = 30_000;
const [host, port] = address.split(':');
server.listen(Number(port), host, async () => {
	setInterval(register, options.heartbeatMilliseconds);
	await register();
});
process.once('disconnect', () => {
	process.exit();
});

async function register() {
	seq++;
	const models = model === undefined ? {} : {stage: 'unified', models: [{name: model, version: 1, adapters: []}]};
	const row = {
		service, address, zone, version: 'v1', slots, state: 'ready', cold_left_ms: 0, born, seq, ...models,
	};
	const put = {
		table: 'servers', part: '', key: id, value: Buffer.from(JSON.stringify(row)).toString('base64'),
	};
	await fetch(`http://${options.store}/rows-tx`, {method: 'POST', body: JSON.stringify({puts: [put]})}).catch(ignore);
}

async function answer(request, response) {
	const {pathname, searchParams} = new URL(request.url, 'http://server');
	const attempt = request.headers['x-attempt-id'] ?? '';
	switch (pathname) {
		case '/report': {
			answerJson(response, {
				stage: 'unified', models: [{name: model, version: 1, adapters: []}], busy: false, seq: 0, waiting: 0, running, kv_used: 0, kv_total: 74_469, handles: 0,
			});
			break;
		}

		case '/kv-events': {
			const since = Number(searchParams.get('since'));
			if (since >= events.length) {
				await delay(Number(request.headers['wait-ms'] ?? 0));
			}

			answerJson(response, {
				boot_epoch: born, next: events.length, lost: false, events: events.slice(since),
			});
			break;
		}

		case '/kv-list': {
			answerJson(response, {
				boot_epoch: born, next: events.length, held: [...cached].map(([key, {tokens}]) => [...key.split('|'), tokens, model]), partial: [],
			});
			break;
		}

		default: {
			if ((request.headers['x-expect-instance'] ?? id) !== id) {
				response.writeHead(421, {'X-Instance-Id': id, 'X-Attempt-Id': attempt});
				response.end();
			} else if (running >= slots) {
				response.writeHead(503, {'X-Not-Executed': '1', 'X-Attempt-Id': attempt, 'X-Server-Load': load()});
				response.end();
			} else {
				running++;
				await run(request, response, attempt);
				running--;
			}
		}
	}
}

async function run(request, response, attempt) {
	const isInSpell = spoils !== undefined && (Date.now() - born) % spoils.everyMilliseconds < spoils.forMilliseconds;
	runs += isInSpell ? 1 : 0;
	const isSpoiled = isInSpell && runs % spoiledEvery === 0;
	process.send({
		event: isSpoiled ? 'is spoiled' : 'runs', id: attempt, tenant: request.headers['x-tenant'], used: useParts(request.headers),
	});
	await delay(workMilliseconds);
	response.writeHead(200, {
		'X-Attempt-Id': attempt, 'X-Server-Seal': `seal.${id}`, 'X-Server-Load': load(), ...(model === undefined ? {} : {'content-type': 'text/event-stream', 'X-Weight-Versions': '1'}),
	});
	if (isSpoiled) {
		await sendGarbage(response);
		return;
	}

	if (model === undefined) {
		response.end(`done ${attempt}`);
		if (isInSpell && runs % extraEvery === 0) {
			setTimeout(sendExtraBytes, extraDelayMilliseconds, request.socket, attempt);
		}

		return;
	}

	for (let number = 1; number <= eventsOfStream && !response.destroyed; number++) {
		response.write(`id: ${number}\ndata: ${'x'.repeat(50)}\n\n`);
		await delay(eventMilliseconds);
	}

	response.end();
}

/** Sends bytes that are no event, in pieces, until the caller closes the connection. */
async function sendGarbage(response) {
	const piece = 'g'.repeat(garbage.bytes);
	while (!response.destroyed) {
		for (let number = 0; number < garbage.perInterval && !response.writableNeedDrain; number++) {
			response.write(piece);
		}

		await delay(garbage.intervalMilliseconds);
	}
}

/** Sends bytes that belong to no request after a complete answer: those of a refusal, without the id of a request. */
function sendExtraBytes(socket, attempt) {
	if (socket.writable) {
		process.send({event: 'is followed by extra bytes', id: attempt});
		socket.write('HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n');
	}
}

/** Finds the parts of a prompt that are cached, caches the others, and returns those that were found. */
function useParts(headers) {
	const salt = headers['x-cache-salt'] ?? '';
	const used = [];
	let isPrefix = true;
	for (const part of (headers['x-prompt-prefix'] ?? '').split(',').filter(entry => entry !== '')) {
		const [partId, tokens] = part.split(':');
		const key = `${salt}|${partId}`;
		const found = cached.get(key);
		isPrefix &&= found !== undefined;
		if (isPrefix) {
			used.push({part: partId, salt, madeBy: found.tenant});
		} else {
			cached.set(key, {tokens: Number(tokens), tenant: headers['x-tenant']});
			events.push([events.length, '+', salt, partId, Number(tokens), model]);
		}
	}

	return used;
}

function load() {
	return `${running},0,${slots}`;
}

function answerJson(response, body) {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify({...body, clock_ms: Date.now(), born}));
}

function ignore() {
	return undefined;
}
