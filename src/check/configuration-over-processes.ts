/**
 * Changes the configuration of real processes under faults: entries are killed and restarted, or cut off from the table,
 * with at least one entry connected to it. After each fault a change is accepted. Every running entry must have it in
 * force within the bound, from the table or from its peers, and a ready entry must never report a lower version than an
 * entry of the same name did before.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {HttpTableService} from '../adapters/http-table-service.js';
import {permitsModelService} from '../demo/demo-declaration.js';
import {Deployment} from '../demo/deployment.js';
import {acceptProposal, readHead} from '../protocol/configuration/configuration-table.js';
import {seededRandom} from '../peer/random/seeded-random.js';
import {EventLoopLag} from '../serving/event-loop-lag.js';
import {CuttableLink} from './cuttable-link.js';

const pollIntervalMilliseconds = 20;
const timeoutMilliseconds = 15_000;
const boundMilliseconds = 3000;
const minReportedLagMilliseconds = 200;
const tracedKinds = [
	'process-started',
	'configuration-in-force',
	'instance-seen',
	'instance-gone',
	'child-restarted',
	'event-loop-late',
	'link-opened',
	'link-closed',
	'table-available',
	'table-unavailable',
];

/** A change, and what happened until it was in force on every entry. */
export type ChangeTrace = {
	/** The fault before the change, and its entry. */
	fault: string;
	version: number;
	/** Milliseconds since the epoch. */
	acceptedAt: number;
	/**
	 * Milliseconds after the acceptance until this check saw the change in force at each entry, in that order. An entry that
	 * is missing never had it.
	 */
	inForceAfter: Record<string, number>;
	/** Entries that were cut off from the table. */
	cutOff: string[];
	/** Ready entries that reported a lower version than before. */
	wentBack: Array<{name: string; before: number; reported: number}>;
};

/** The counts of a run, and its trace. `late` and `wentBack` must be 0. */
export type ConfigurationReport = {
	restarts: number;
	cuts: number;
	mends: number;
	changes: number;
	/** Changes that took longer than 3 s until they were in force on every running entry. */
	late: number;
	/** How often a ready entry reported a lower version than an entry of the same name did before. */
	wentBack: number;
	slowestMilliseconds: number;
	traces: ChangeTrace[];
	/** The timeline's events of configuration changes, memberships, links, lags and the table, as the entries recorded them. */
	events: string[];
	/** The lags of this check's own event loop, through which the entries reach the table. */
	ownLags: Array<{at: string; lagMilliseconds: number; processorMilliseconds: number}>;
};

/** Thrown when a run ends early. Its message carries the trace up to there. */
export class ConfigurationRunError extends Error {
	override readonly name = 'ConfigurationRunError';
}

/**
 * Injects faults and accepts a change after each.
 *
 * @param plan - The number of faults, and their seed.
 * @returns The counts of the run, and its trace.
 * @throws `ConfigurationRunError` if a process or the table does not answer.
 */
export async function runConfigurationChanges({faults, seed}: {faults: number; seed: number}): Promise<ConfigurationReport> {
	const links = new Map<string, CuttableLink>();
	const deployment = new Deployment({
		dataCentres: ['split-riva', 'split-luka'],
		entriesPerDataCentre: 2,
		enginesPerDataCentre: 1,
		modelServices: [permitsModelService],
		plainService: 'bookings',
		async tableAddressFor(instance, table) {
			const before = links.get(instance);
			before?.close();
			const link = new CuttableLink(table);
			// An entry that restarts while it is cut off from the table gets the configuration from its peers only.
			if (before?.isCut) {
				link.cut();
			}

			links.set(instance, link);
			return link.listen();
		},
	});
	try {
		await deployment.start();
		return await new ConfigurationRun(deployment, links, seededRandom(seed)).run(faults);
	} finally {
		await deployment.stop();
		for (const link of links.values()) {
			link.close();
		}
	}
}

class ConfigurationRun {
	readonly #deployment: Deployment;
	readonly #links: ReadonlyMap<string, CuttableLink>;
	readonly #random: () => number;
	readonly #table: HttpTableService;
	readonly #highest = new Map<string, number>();
	readonly #report: ConfigurationReport = {
		restarts: 0, cuts: 0, mends: 0, changes: 0, late: 0, wentBack: 0, slowestMilliseconds: 0, traces: [], events: [], ownLags: [],
	};

	constructor(deployment: Deployment, links: ReadonlyMap<string, CuttableLink>, random: () => number) {
		this.#deployment = deployment;
		this.#links = links;
		this.#random = random;
		this.#table = new HttpTableService(deployment.platform.table);
	}

	async run(faults: number): Promise<ConfigurationReport> {
		const ownLag = new EventLoopLag(() => performance.now(), (lagMilliseconds, processorMilliseconds) => {
			if (lagMilliseconds >= minReportedLagMilliseconds) {
				this.#report.ownLags.push({at: new Date().toISOString(), lagMilliseconds: Math.round(lagMilliseconds), processorMilliseconds: Math.round(processorMilliseconds)});
			}
		});
		ownLag.start();
		try {
			await this.#acceptChange('none');
			for (let count = 0; count < faults; count++) {
				await this.#acceptChange(await this.#injectFault());
			}
		} catch (error) {
			throw new ConfigurationRunError(`${String(error)}${formatRun(this.#reportWithEvents())}`, {cause: error});
		} finally {
			ownLag.stop();
		}

		return this.#reportWithEvents();
	}

	#reportWithEvents(): ConfigurationReport {
		return {...this.#report, events: this.#deployment.timeline.lines.filter(line => tracedKinds.some(kind => line.includes(` ${kind} `)))};
	}

	/** Returns the fault and its entry. */
	async #injectFault(): Promise<string> {
		const entries = this.#deployment.withRole('entry');
		const entry = entries[Math.floor(this.#random() * entries.length)]!;
		const link = this.#links.get(entry.listed.name)!;
		if (this.#random() < 0.5) {
			this.#report.restarts++;
			const startedAt = performance.now();
			await this.#deployment.replaceEntry(entry);
			return `restart ${entry.listed.name} in ${Math.round(performance.now() - startedAt)} ms`;
		}

		if (link.isCut) {
			this.#report.mends++;
			link.restore();
			return `mend ${entry.listed.name}`;
		}

		if ([...this.#links.values()].filter(({isCut}) => !isCut).length > 1) {
			this.#report.cuts++;
			link.cut();
			return `cut ${entry.listed.name}`;
		}

		return 'none';
	}

	/** Accepts a change and waits until it is in force on every entry. */
	async #acceptChange(fault: string): Promise<void> {
		const trace: ChangeTrace = {
			fault, version: 0, acceptedAt: 0, inForceAfter: {}, cutOff: [...this.#links].filter(([, {isCut}]) => isCut).map(([name]) => name), wentBack: [],
		};
		this.#report.traces.push(trace);
		const head = await readHead(this.#table);
		const accepted = await acceptProposal(this.#table, {
			plannedAgainst: head.unsafeCoerce().version,
			author: 'check',
			reason: 'a change under faults',
			edits: [{action: 'set', kind: 'limit', item: {name: 'open-requests', value: 100 + this.#report.changes}}],
		}, Date.now());
		this.#report.changes++;
		const {version} = accepted.unsafeCoerce();
		const acceptedAt = performance.now();
		Object.assign(trace, {version, acceptedAt: Date.now()});
		while (!await this.#isInForceEverywhere(trace, acceptedAt)) {
			if (performance.now() - acceptedAt > timeoutMilliseconds) {
				break;
			}

			await delay(pollIntervalMilliseconds);
		}

		const took = performance.now() - acceptedAt;
		this.#report.slowestMilliseconds = Math.max(this.#report.slowestMilliseconds, Math.round(took));
		this.#report.late += took > boundMilliseconds ? 1 : 0;
	}

	async #isInForceEverywhere(trace: ChangeTrace, acceptedAt: number): Promise<boolean> {
		const seen = await Promise.all(this.#deployment.withRole('entry').map(async ({listed: {name, address}}) => {
			const found = await this.#readVersion(name, address, trace);
			if (found >= trace.version) {
				trace.inForceAfter[name] ??= Math.round(performance.now() - acceptedAt);
			}

			return found;
		}));
		return seen.every(found => found >= trace.version);
	}

	/** Returns the version that an entry reports, and counts it if it is lower than before. */
	async #readVersion(name: string, address: string, trace: ChangeTrace): Promise<number> {
		const answer = await request(`http://${address}/readyz`);
		const {ready, configurationVersion} = await answer.body.json() as {ready: boolean; configurationVersion: number};
		const before = this.#highest.get(name) ?? 0;
		if (ready && configurationVersion < before) {
			this.#report.wentBack++;
			trace.wentBack.push({name, before, reported: configurationVersion});
		}

		this.#highest.set(name, Math.max(before, configurationVersion));
		return configurationVersion;
	}
}

/**
 * Formats a run for the message of a failed check.
 *
 * @returns One line for each change, each lag of the check, and each event.
 */
export function formatRun({traces, events, ownLags}: Pick<ConfigurationReport, 'traces' | 'events' | 'ownLags'>): string {
	const lines = [...traces, ...ownLags].map(item => JSON.stringify(item));
	return ['', 'Changes, lags of the check and events of the run:', ...lines, ...events].join('\n');
}
