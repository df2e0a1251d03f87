/* eslint camelcase: "off" -- the platform's fields are in snake_case */
/** Starts and stops the project's gateway as a separate process, with the command of the deploy file. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname, '../..');
const frontPort = 8005;
const readyPort = 8002;
const internalPort = 7700;
const readyMilliseconds = 30_000;

/** The settings of a machine of the small deployment pitchdesk. */
const usualSettings = {
	role: 'gateway',
	machine_class: 'front',
	serves: 'front',
	region: 'dalmatia',
	'zones.split-zone': 'dalmatia',
	internal_ports: `${internalPort},${internalPort + 15}`,
	bootstrap: true,
	loss_counted: false,
	'limits.cpu_share': 0.459,
	'limits.cores': 1,
	'limits.memory_mb': 272,
	'limits.max_fds': 2069,
	discovery: 'platform',
	entry: 'vip',
	heartbeat_ms: 1200,
	contracts: 'base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform',
	'bounds.contact_ms': 3000,
	'bounds.drain_ms': 2000,
	'bounds.grace_s': 8,
	'bounds.config_apply_ms': 2000,
	'bounds.strict_revoke': true,
	'bounds.revoke_ms': 5000,
	'bounds.budget_ratio': 0.2,
	'bounds.budget_window_s': 10,
	'bounds.budget_extra': 126,
	'bounds.lease_ms': 3000,
	'bounds.version_ms': 10_000,
	'platform.form': 'table',
};

export class Gateway {
	child;
	#name;
	#ip;
	#storeAddress;
	#folder;

	/** @param options - `name`, `ip`, `storeAddress`, and the `folder` of its settings. */
	constructor({name, ip, storeAddress, folder}) {
		this.#name = name;
		this.#ip = ip;
		this.#storeAddress = storeAddress;
		this.#folder = folder;
	}

	/** Where it accepts clients. */
	get front() {
		return {host: this.#ip, port: frontPort};
	}

	get hasEnded() {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	/** Writes the settings file and starts the process; does not wait until it is ready. */
	start() {
		const file = path.join(this.#folder, `${this.#name}.conf`);
		const settings = {
			node: this.#name,
			ip: this.#ip,
			zone: 'split-zone',
			'listen.front': `${this.#ip}:${frontPort}`,
			'listen.ready': `${this.#ip}:${readyPort}`,
			'platform.address': this.#storeAddress,
			...usualSettings,
		};
		writeFileSync(file, Object.entries(settings).map(([key, value]) => `${key}=${value}\n`).join(''));
		const {command} = /^run = "(?<command>.*)"$/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).groups;
		const [program, ...words] = command.split(' ');
		const {PATH, HOME} = process.env;
		this.child = spawn(program === 'node' ? process.execPath : program, words, {cwd: root, env: {PATH, HOME, SAVORYGAUGE_BOOT: file}, stdio: ['ignore', 'pipe', 'pipe']});
		// A pipe that nobody reads would fill up.
		this.child.stdout.resume();
		this.child.stderr.resume();
	}

	async isReady() {
		try {
			const {status} = await fetch(`http://${this.#ip}:${readyPort}/readiness`, {signal: AbortSignal.timeout(1000)});
			return status === 200;
		} catch {
			return false;
		}
	}

	async waitUntilReady() {
		const endsAt = performance.now() + readyMilliseconds;
		while (!await this.isReady()) {
			if (performance.now() > endsAt || this.hasEnded) {
				throw new Error(`${this.#name} did not become ready`);
			}

			await delay(50);
		}
	}

	async kill() {
		if (this.child !== undefined && !this.hasEnded) {
			this.child.kill('SIGKILL');
			await once(this.child, 'exit');
		}
	}
}
