/* eslint camelcase: "off" -- the platform's fields are in snake_case */
/** A stand-in of the platform's metadata store: rows in tables, transactions, and a feed of changes. It follows PROTOCOL.md. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {json} from 'node:stream/consumers';

const pageRows = 500;

export class PlatformStore {
	#rows = new Map();
	#changes = [];
	#version = 0;
	#waiting = new Set();
	/** By table: up to which version a caller of the feed has said that it has read it. */
	#readUpTo = new Map();
	#server;

	async start(host) {
		this.#server = createServer(async (request, response) => {
			await this.#handle(request, response);
		});
		this.#server.listen(0, host);
		await once(this.#server, 'listening');
		return `${host}:${this.#server.address().port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes one row, as an operator or a server does; the store has acknowledged it when this returns. */
	write(table, key, value) {
		this.commit({puts: [{table, key, value: Buffer.from(JSON.stringify(value)).toString('base64')}]});
	}

	read(table, key) {
		const row = this.#rows.get(nameOf({table, key}));
		return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
	}

	/** The version of a row. */
	versionOf(table, key) {
		return this.#rows.get(nameOf({table, key}))?.ver ?? 0;
	}

	/** Up to which version a caller of the feed of a table has said that it has read it. */
	readUpTo(table) {
		return this.#readUpTo.get(table) ?? 0;
	}

	/** Applies a transaction; returns the current rows of its conditions if one of them does not hold. */
	commit({expected_rev: conditions = [], puts = [], remove = []}) {
		const current = conditions.map(({table, key}) => this.#rows.get(nameOf({table, key})));
		if (conditions.some(({ver}, index) => (current[index]?.ver ?? 0) !== ver)) {
			return current.filter(row => row !== undefined);
		}

		this.#version++;
		for (const {table, key, value} of puts) {
			const row = {
				table, part: '', key, value, ver: this.#version,
			};
			this.#rows.set(nameOf(row), row);
			this.#changes.push(row);
		}

		for (const {table, key} of remove) {
			if (this.#rows.delete(nameOf({table, key}))) {
				this.#changes.push({
					table, part: '', key, deleted: true, ver: this.#version,
				});
			}
		}

		for (const resume of this.#waiting) {
			resume();
		}

		return undefined;
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const body = request.method === 'POST' ? await json(request) : undefined;
		const {status, answer} = await this.#answerTo(url, body);
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify({ver: this.#version, now_ms: performance.now(), ...answer}));
	}

	async #answerTo(url, body) {
		const table = url.searchParams.get('table') ?? '';
		switch (url.pathname) {
			case '/rows-tx': {
				const current = this.commit(body);
				return current === undefined ? {status: 200, answer: {}} : {status: 412, answer: {rows: current}};
			}

			case '/rows-get': {
				const limit = Number(url.searchParams.get('limit') ?? pageRows);
				const from = url.searchParams.get('from') ?? '';
				const to = url.searchParams.get('to') ?? undefined;
				const rows = [...this.#rows.values()]
					.filter(row => row.table === table && row.key >= from && (to === undefined || row.key < to))
					.toSorted((left, right) => left.key < right.key ? -1 : 1);
				return {status: 200, answer: {rows: rows.slice(0, limit), has_more: rows.length > limit}};
			}

			case '/rows-feed': {
				const after = Number(url.searchParams.get('after'));
				this.#readUpTo.set(table, Math.max(after, this.readUpTo(table)));
				const rows = await this.#changesAfter(table, after, Number(url.searchParams.get('wait_ms') ?? 0));
				return {status: 200, answer: {rows}};
			}

			default: {
				return {status: 404, answer: {}};
			}
		}
	}

	async #changesAfter(table, after, waitMilliseconds) {
		const endsAt = performance.now() + waitMilliseconds;
		for (;;) {
			const rows = this.#changes.filter(row => row.table === table && row.ver > after);
			const remaining = endsAt - performance.now();
			if (rows.length > 0 || remaining <= 0) {
				return rows;
			}

			await this.#nextChange(remaining);
		}
	}

	async #nextChange(milliseconds) {
		await new Promise(resolve => {
			const resume = () => {
				this.#waiting.delete(resume);
				resolve();
			};

			this.#waiting.add(resume);
			setTimeout(resume, milliseconds).unref();
		});
	}
}

function nameOf({table, key}) {
	return `${table}|${key}`;
}
