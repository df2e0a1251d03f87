/* eslint camelcase: "off" -- the platform's names have underscores */
/** A stand-in of the platform's metadata store: rows with versions, transactions, and a feed of changes, over HTTP. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {json} from 'node:stream/consumers';

const defaultLimit = 500;
const heartbeatsUntilExpiry = 3;
const expiryCheckMilliseconds = 100;

export class PlatformStore {
	/** Rises by one when the store comes back from a copy. */
	era = 1;
	#version = 0;
	#rows = new Map();
	#waiters = new Set();
	#isAway = false;
	#expiry;
	#server = createServer(async (request, response) => {
		if (this.#isAway) {
			request.socket.destroy();
			return;
		}

		const {status, body} = await this.#answer(new URL(request.url, 'http://store'), request);
		response.writeHead(status, {'content-type': 'application/json', 'store-era': String(this.era)});
		response.end(JSON.stringify({ver: this.#version, now_ms: Math.round(performance.now()), ...body}));
	});

	/** Starts to serve; servers whose rows are not renewed for three heartbeats lose them. */
	async start(address, heartbeatMilliseconds) {
		const [host, port] = address.split(':');
		this.#server.listen(Number(port), host);
		await once(this.#server, 'listening');
		this.#expiry = setInterval(() => {
			const oldest = performance.now() - (heartbeatsUntilExpiry * heartbeatMilliseconds);
			for (const {table, key, writtenAt, value} of this.#rows.values()) {
				if (table === 'servers' && value !== undefined && JSON.parse(value).seq !== undefined && writtenAt < oldest) {
					this.write(table, key);
				}
			}
		}, expiryCheckMilliseconds);
	}

	stop() {
		clearInterval(this.#expiry);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes a row; an absent value removes it. */
	write(table, key, value) {
		this.#commit({puts: value === undefined ? [] : [{table, key, value: JSON.stringify(value)}], remove: value === undefined ? [{table, key}] : []});
	}

	/** The value of a row; `undefined` if there is none. */
	read(table, key) {
		const value = this.#rows.get(`${table}|${key}`)?.value;
		return value === undefined ? undefined : JSON.parse(value);
	}

	/** Returns a copy, from which the store can come back. */
	copy() {
		return {version: this.#version, rows: new Map(this.#rows)};
	}

	/** Closes all connections, and refuses calls until the store comes back. */
	goAway() {
		this.#isAway = true;
		this.#server.closeAllConnections();
	}

	/** Comes back from a copy. */
	restore({version, rows}) {
		this.era++;
		this.#version = version;
		this.#rows = new Map(rows);
		this.#isAway = false;
	}

	#commit({conditions = [], puts, remove}) {
		const versionOf = ({table, key}) => {
			const row = this.#rows.get(`${table}|${key}`);
			return row?.value === undefined ? 0 : row.version;
		};

		if (conditions.some(condition => versionOf(condition) !== condition.ver)) {
			return false;
		}

		this.#version++;
		for (const {table, key, value} of [...puts, ...remove]) {
			this.#rows.set(`${table}|${key}`, {
				table, key, value, version: this.#version, writtenAt: performance.now(),
			});
		}

		for (const wake of this.#waiters) {
			wake();
		}

		this.#waiters.clear();
		return true;
	}

	async #answer({pathname, searchParams}, request) {
		const table = searchParams.get('table');
		switch (pathname) {
			case '/rows-tx': {
				const {expected_rev: conditions = [], puts = [], remove = []} = await json(request);
				const isDone = this.#commit({conditions, puts: puts.map(put => ({...put, value: Buffer.from(put.value, 'base64').toString()})), remove});
				const current = conditions.map(({table, key}) => this.#rows.get(`${table}|${key}`)).filter(row => row?.value !== undefined);
				return isDone ? {status: 200, body: {}} : {status: 412, body: {rows: current.map(row => wireRowOf(row))}};
			}

			case '/rows-get': {
				const from = searchParams.get('from') ?? '';
				const to = searchParams.get('to');
				const limit = Number(searchParams.get('limit') ?? defaultLimit);
				const rows = [...this.#rows.values()]
					.filter(row => row.table === table && row.value !== undefined && row.key >= from && (to === null || row.key < to))
					.toSorted((one, other) => one.key < other.key ? -1 : 1);
				return {status: 200, body: {rows: rows.slice(0, limit).map(row => wireRowOf(row)), has_more: rows.length > limit}};
			}

			case '/rows-feed': {
				return this.#follow(table, Number(searchParams.get('after')), Number(searchParams.get('wait_ms') ?? 0));
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	}

	async #follow(table, after, waitMilliseconds) {
		if (after > this.#version) {
			return {status: 410, body: {}};
		}

		const endsAt = performance.now() + waitMilliseconds;
		const changed = () => [...this.#rows.values()].filter(row => row.table === table && row.version > after).toSorted((one, other) => one.version - other.version);
		while (changed().length === 0 && performance.now() < endsAt) {
			await new Promise(resolve => {
				this.#waiters.add(resolve);
				setTimeout(resolve, endsAt - performance.now());
			});
		}

		return {status: 200, body: {rows: changed().map(row => wireRowOf(row))}};
	}
}

function wireRowOf({table, key, value, version}) {
	const name = {table, part: '', key};
	return value === undefined ? {...name, ver: version, deleted: true} : {...name, ver: version, value: Buffer.from(value).toString('base64')};
}
