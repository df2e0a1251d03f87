// Runs every command of docs/OPERATING.md, in the order of the page, against stand-ins on this machine. A block marked
// `sh` is run to its end. `sh background NAME` is started, and the next block follows when it has printed its ready line.
// `sh table-down`, with or without `background NAME`, runs while the stand-in of the table service is down. The exit
// status is 1 if a block does not end as expected.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	chmodSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

const readyMilliseconds = 20_000;
const blockMilliseconds = 60_000;
const eventsArriveMilliseconds = 500;

const folder = mkdtempSync(path.join(tmpdir(), 'operating-'));
const started = new Map();
const programs = {savorygauge: 'operator', 'savorygauge-entry': 'entry', 'savorygauge-timeline': 'timeline'};
for (const [name, part] of Object.entries(programs)) {
	const file = path.join(folder, name);
	const main = path.resolve('dist', part, 'main.js');
	writeFileSync(file, `#!/bin/sh\nexec ${process.execPath} ${main} "$@"\n`);
	chmodSync(file, 0o755);
}

async function freeAddress() {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${port}`;
}

async function start({name, command, words, environment}) {
	const child = spawn(command, words, {env: environment, stdio: ['ignore', 'pipe', 'inherit']});
	const reader = createInterface({input: child.stdout});
	const [line] = await once(reader, 'line', {signal: AbortSignal.timeout(readyMilliseconds)});
	started.set(name, child);
	return JSON.parse(line);
}

async function standIn(name, ...words) {
	const {address} = await start({
		name, command: process.execPath, words: ['dist/stand-in/main.js', ...words], environment: process.env,
	});
	return address;
}

async function send({address, route, method, body}) {
	await fetch(`http://${address}${route}`, {method, headers: {'content-type': 'application/json'}, body: JSON.stringify(body)});
}

const variables = {
	PATH: `${folder}:${process.env.PATH}`,
	OPERATOR_KEY: 'operator-key-of-the-walk',
	CACHE_SECRET: 'cache-secret-of-the-walk',
	WORKSPACE_KEY: 'split-performers-example-key',
	EVENTS_FILE: path.join(folder, 'events.jsonl'),
	DRAWING: path.join(folder, 'way.svg'),
};

async function setTableDown(down) {
	await send({
		address: variables.TABLE, route: '/control', method: 'POST', body: {down},
	});
}

/** Sends a prompt and returns its request id. */
async function askOnce() {
	const answer = await fetch(`http://${variables.ENTRY_1}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${variables.WORKSPACE_KEY}`, 'content-type': 'application/json'},
		body: JSON.stringify({model: 'permit-1', messages: [{role: 'user', content: 'a question'}]}),
	});
	const {id} = await answer.json();
	// The collector receives events in batches; the drawing must include the last event.
	await new Promise(resolve => {
		setTimeout(resolve, eventsArriveMilliseconds);
	});
	return String(id).replace('chatcmpl-', '');
}

async function startInBackground(name, text) {
	const earlier = started.get(name);
	if (earlier !== undefined && earlier.exitCode === null) {
		await once(earlier, 'exit');
	}

	await start({
		name, command: '/bin/sh', words: ['-c', `exec env ${text}`], environment: {...process.env, ...variables},
	});
	variables[`${name.replaceAll('-', '_').toUpperCase()}_PROCESS`] = String(started.get(name).pid);
}

/** Runs a block to its end. The command of a line that starts with "! " must fail. */
async function runBlock(text) {
	const script = text.replaceAll(/^! (?<command>.*)$/gmv, 'if $<command>; then exit 9; fi');
	const child = spawn('/bin/bash', ['-c', `set -e\n${script}`], {
		env: {...process.env, ...variables}, stdio: ['ignore', 'inherit', 'inherit'], timeout: blockMilliseconds,
	});
	const [status] = await once(child, 'exit');
	for (const {groups: {name, value}} of text.matchAll(/^export (?<name>\w+)=(?<value>.*)$/gmv)) {
		variables[name] = value.replaceAll(/\$(?<variable>\w+)/gv, (_, variable) => variables[variable]);
	}

	return status;
}

async function walk({kind, text}) {
	console.log(`$ ${text.trimEnd().replaceAll('\n', '\n$ ')}`);
	const background = /\bbackground (?<name>\S+)/v.exec(kind)?.groups.name;
	const isTableDown = kind.startsWith('table-down');
	if (text.includes('$REQUEST')) {
		variables.REQUEST = await askOnce();
	}

	await setTableDown(isTableDown);
	if (background === undefined) {
		return runBlock(text);
	}

	await startInBackground(background, text);
	return 0;
}

async function startPlatform() {
	variables.TABLE = await standIn('table', 'table');
	variables.OBJECTS = await standIn('objects', 'object');
	variables.LIST = await standIn('list', 'list');
	for (const name of ['TIMELINE', 'ENTRY_1', 'ENTRY_1_OPERATORS', 'ENTRY_1_PEERS', 'ENTRY_2', 'ENTRY_2_OPERATORS', 'ENTRY_2_PEERS']) {
		variables[name] = await freeAddress();
	}

	const common = {
		dataCentre: 'split-riva', peerAddress: '', service: '', state: 'live',
	};
	const engine = {...common, role: 'model-engine', service: 'permits'};
	const entry = {...common, role: 'entry'};
	const instances = [
		{...engine, name: 'engine-1', address: await standIn('engine-1', 'engine', '--model', 'permit-1')},
		{...engine, name: 'engine-2', address: await standIn('engine-2', 'engine', '--model', 'permit-1')},
		{
			...common, name: 'plain-1', role: 'plain-service', service: 'bookings', address: await standIn('plain-1', 'plain'),
		},
		{
			...entry, name: 'entry-1', address: variables.ENTRY_1, peerAddress: variables.ENTRY_1_PEERS,
		},
		{
			...entry, name: 'entry-2', address: variables.ENTRY_2, peerAddress: variables.ENTRY_2_PEERS,
		},
	];
	await send({
		address: variables.LIST, route: '/instances', method: 'PUT', body: {instances},
	});
}

async function stopAll() {
	for (const child of [...started.values()].toReversed()) {
		if (child.exitCode === null && child.signalCode === null) {
			child.kill('SIGTERM');
			await once(child, 'exit');
		}
	}

	rmSync(folder, {recursive: true});
}

const page = readFileSync('docs/OPERATING.md', 'utf8');
const blocks = [...page.matchAll(/^```sh(?<kind>[^\n]*)\n(?<text>.*?)^```$/gmsv)].map(({groups}) => ({kind: groups.kind.trim(), text: groups.text}));
let failed = 0;
try {
	await startPlatform();
	for (const block of blocks) {
		const status = await walk(block);
		if (status !== 0) {
			failed++;
			console.log(`FAILED: exit status ${status}`);
		}
	}
} finally {
	await stopAll();
}

console.log(`${blocks.length} blocks run, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
