/* eslint camelcase: "off" -- the platform's names have underscores */
/** Starts the processes of a small deployment on loopback addresses: gateways by the deploy file, and stand-ins of servers. */
import {spawn} from 'node:child_process';
import {randomBytes, randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {Agent, request as sendRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {PlatformStore} from './platform-store.mjs';

const ports = {
	front: 8005, ready: 8002, internal: 7700, store: 8007, server: 8268,
};
const heartbeatMilliseconds = 1200;
/** The platform starts a process that has ended again after a short delay. */
const restartMilliseconds = 500;
const readyTimeoutMilliseconds = 20_000;
const errorCharacters = 2000;
const serverProgram = fileURLToPath(new URL('server.mjs', import.meta.url));

export const host = 'quay.example';
/** Whether the case is to be played with its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';
/** The data centres of the deployment `magyard`. */
export const dataCentres = ['mobile-yard', 'baton-yard', 'jackson-yard'];

/** The settings of the deployment `magyard`. */
const settings = {
	role: 'gateway',
	machine_class: 'front',
	serves: 'front',
	region: 'gulf-south',
	'limits.cpu_share': 0.459,
	'limits.cores': 1,
	'limits.memory_mb': 272,
	'limits.max_fds': 2870,
	'limits.link_mbps': 700,
	discovery: 'platform',
	entry: 'vip',
	heartbeat_ms: heartbeatMilliseconds,
	contracts: 'base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform',
	'fault_tolerance.zones': 1,
	'bounds.contact_ms': 3000,
	'bounds.drain_ms': 2000,
	'bounds.grace_s': 8,
	'bounds.loss_slack_ms': 200,
	'bounds.config_apply_ms': 2000,
	'bounds.rollback_slack_ms': 250,
	'bounds.strict_revoke': true,
	'bounds.revoke_ms': 5000,
	'bounds.budget_ratio': 0.2,
	'bounds.budget_window_s': 10,
	'bounds.budget_extra': 116,
	'bounds.fencing_required': false,
	'bounds.lease_ms': 3000,
	'bounds.version_ms': 6000,
	'bounds.version_all_ms': 8400,
};

export class Deployment {
	store = new PlatformStore();
	/** The instances, with the times at which their processes ended by themselves. */
	gateways = [];
	servers = [];
	/** Called with what a server reports: `{event, server, ...}`. */
	onServerEvent = ignore;
	#record = [];
	#recordFile;
	#startedAt = performance.now();
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#network;
	#isEnding = false;
	#configurationVersion = 0;
	#configuration;

	/** @param folder - The folder of the case, for its `record.txt`. */
	constructor(folder) {
		this.#recordFile = path.join(folder, 'record.txt');
	}

	/** Milliseconds since the start. */
	get now() {
		return performance.now() - this.#startedAt;
	}

	/** Adds a line to `record.txt`. */
	note(line) {
		this.#record.push(`${(this.now / 1000).toFixed(3)} ${line}`);
	}

	/** Starts the store and an instance in each of the given data centres. */
	async start({gateways, ...configuration}) {
		this.#network = await findFreeNetwork();
		await this.store.start(this.#addressOf(9, 1, ports.store), heartbeatMilliseconds);
		this.configure(configuration);
		const run = /^run = "(?<run>[^"]+)"/mv.exec(readFileSync('deploy/system.toml', 'utf8')).groups.run.split(' ');
		for (const [index, dataCentre] of gateways.entries()) {
			const gateway = {
				name: `front-${dataCentre}-${index + 1}`, dataCentre, ip: `127.${this.#network}.1.${index + 1}`, run, ends: [], child: undefined,
			};
			this.gateways.push(gateway);
			this.startGateway(gateway);
		}
	}

	/** Writes the next version of the configuration. */
	configure(configuration) {
		this.#configurationVersion += 3;
		this.#configuration = {
			version: this.#configurationVersion,
			...configuration,
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
			},
		};
		this.writeConfiguration();
	}

	/** Writes the present version of the configuration, which a store that came back from a copy may lack. */
	writeConfiguration() {
		this.store.write('op', 'config', this.#configuration);
		this.note(`configuration ${this.#configurationVersion} acknowledged`);
	}

	/** Starts the process of an instance; one that ends by itself is started again, as the platform does. */
	startGateway(gateway) {
		const file = path.join(this.#folder, `${gateway.name}.conf`);
		writeFileSync(file, Object.entries({
			...settings,
			...Object.fromEntries(dataCentres.map(dataCentre => [`zones.${dataCentre}`, settings.region])),
			node: gateway.name,
			ip: gateway.ip,
			zone: gateway.dataCentre,
			'listen.front': `${gateway.ip}:${ports.front}`,
			'listen.ready': `${gateway.ip}:${ports.ready}`,
			internal_ports: `${ports.internal},${ports.internal + 15}`,
			'platform.address': this.#addressOf(9, 1, ports.store),
		}).map(([name, value]) => `${name}=${value}`).join('\n'));
		const [program, ...words] = gateway.run;
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(program, words, {
			stdio: ['ignore', 'ignore', 'pipe'], env: {
				PATH, HOME, LANG, SAVORYGAUGE_BOOT: file,
			},
		});
		gateway.child = child;
		let errors = '';
		child.stderr.on('data', text => {
			errors = `${errors}${text}`.slice(-errorCharacters);
		});
		child.once('exit', (code, signal) => {
			if (this.#isEnding) {
				return;
			}

			if (signal !== 'SIGKILL') {
				gateway.ends.push(this.now);
				this.note(`process of ${gateway.name} ended by itself: ${code ?? signal}; ${/^\w*(?:Error|FATAL)[^\n]*/mv.exec(errors)?.[0] ?? ''}`);
			}

			setTimeout(() => {
				if (!this.#isEnding) {
					this.startGateway(gateway);
				}
			}, restartMilliseconds);
		});
	}

	/** Kills the process of an instance; the platform starts it again. */
	killGateway({child, name}) {
		child.kill('SIGKILL');
		this.note(`process of ${name} killed`);
	}

	/** Waits until all instances are ready. */
	async untilReady() {
		const endsAt = performance.now() + readyTimeoutMilliseconds;
		for (const {ip, name} of this.gateways) {
			for (let status = 0; status !== 200;) {
				if (performance.now() > endsAt) {
					throw new Error(`${name} is not ready`);
				}

				await delay(50);
				const answer = await fetch(`http://${ip}:${ports.ready}/readiness`).catch(ignore);
				status = answer?.status;
			}
		}
	}

	/** Starts a server; the options reach `server.mjs`, and `place` selects its address. */
	startServer({place, ...options}) {
		const number = this.servers.length + 1;
		const id = `i-${options.service}-${number}`;
		const child = spawn(process.execPath, [serverProgram, JSON.stringify({
			...options, id, address: this.#addressOf(2, place, ports.server), store: this.#addressOf(9, 1, ports.store), heartbeatMilliseconds,
		})], {stdio: ['ignore', 'inherit', 'inherit', 'ipc']});
		child.on('message', message => {
			this.onServerEvent({...message, server: id});
		});
		const server = {
			id, place, dataCentre: options.zone, child, crashedAt: undefined,
		};
		this.servers.push(server);
		return server;
	}

	/** Crashes a server: its process is killed. */
	crashServer(server) {
		server.child.kill('SIGKILL');
		server.crashedAt = this.now;
		this.note(`server ${server.id} crashed`);
	}

	/** An address of this deployment at which nothing listens. */
	unusedIp() {
		return `127.${this.#network}.200.1`;
	}

	/** Ends all processes, and writes `record.txt`. */
	async stop() {
		this.#isEnding = true;
		const children = [...this.gateways, ...this.servers].map(({child}) => child).filter(child => child.exitCode === null && child.signalCode === null);
		await Promise.all(children.map(async child => {
			const exit = once(child, 'exit');
			child.kill('SIGKILL');
			await exit;
		}));
		this.store.stop();
		rmSync(this.#folder, {recursive: true});
		writeFileSync(this.#recordFile, `${this.#record.join('\n')}\n`);
	}

	#addressOf(group, number, port) {
		return `127.${this.#network}.${group}.${number}:${port}`;
	}
}

/** A client with kept connections. */
export class Client {
	#agent = new Agent({keepAlive: true, maxSockets: 256});

	/** Sends one request; resolves with what the client saw. A status of 0 means that no answer came. */
	async send(gateway, {method = 'POST', target, body = '', headers = {}, deadlineMilliseconds}) {
		const id = randomBytes(8).toString('hex');
		const lengthHeader = method === 'POST' ? {'content-length': body.length} : {};
		const sentAt = performance.now();
		return new Promise(resolve => {
			let status = 0;
			const outgoing = sendRequest({
				host: gateway.ip,
				port: ports.front,
				method,
				path: target,
				agent: this.#agent,
				headers: {
					host, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadlineMilliseconds), ...lengthHeader, ...headers,
				},
			}, response => {
				status = response.statusCode;
				response.resume().on('error', ignore).once('close', () => {
					end(response.complete);
				});
			});
			const timer = setTimeout(() => {
				outgoing.destroy();
			}, deadlineMilliseconds);
			const end = isWhole => {
				clearTimeout(timer);
				resolve({
					id, target, status, isWhole, milliseconds: performance.now() - sentAt, isKept: outgoing.reusedSocket,
				});
			};

			outgoing.once('error', () => {
				end(false);
			});
			outgoing.end(body);
		});
	}

	close() {
		this.#agent.destroy();
	}
}

/** Node exits with 1 for any error, so `run.sh` translates these. */
const exitCodes = {held: 0, notRun: 2, broken: 3};

/** Plays a case, and sets the exit code to its result. */
export async function runCase(folder, play) {
	const deployment = new Deployment(folder);
	let status = exitCodes.notRun;
	try {
		const {isBroken, text} = await play(deployment);
		const line = `${isBroken ? 'broken' : 'held'}: ${text}`;
		deployment.note(line);
		console.log(line);
		status = isBroken ? exitCodes.broken : exitCodes.held;
	} catch (error) {
		deployment.note(`could not run: ${error.message}`);
		console.error(error);
	} finally {
		await deployment.stop();
	}

	process.exitCode = status;
}

/** The second byte of a range of loopback addresses that no other run uses. */
async function findFreeNetwork() {
	for (;;) {
		const network = randomInt(160, 250);
		const probe = createServer();
		const isFree = await new Promise(resolve => {
			probe.once('listening', () => {
				resolve(true);
			}).once('error', () => {
				resolve(false);
			});
			probe.listen(ports.store, `127.${network}.9.1`);
		});
		if (isFree) {
			probe.close();
			await once(probe, 'close');
			return network;
		}
	}
}

function ignore() {
	return undefined;
}
