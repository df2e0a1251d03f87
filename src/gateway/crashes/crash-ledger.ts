/**
 * What this instance knows of the crashes of endpoints, its own findings and those of the other instances, and which requests
 * are blocked for them.
 *
 * The reports are the only state: which requests are blocked follows from them, so that instances with the same reports block
 * the same requests, in whichever order these arrived. A complete answer to a request shows that it does not crash the
 * endpoints that run it, and voids the crashes that it was present at.
 */
import {
	findCrashingRequests, findSuspects, crashesToBlock, type Crash,
} from '../../decision/crashes/find-crashing-requests.js';

/** The requests that one instance lost in one crash. */
export type CrashReport = {
	kind: 'crash';
	/** Identifies the incarnation of the endpoint that ended. */
	incarnation: string;
	/** Who reports it. */
	instance: string;
	/** When it was found, in milliseconds since the epoch. */
	at: number;
	/** By fingerprint: how long each request had been in flight, in milliseconds. */
	requests: Array<[fingerprint: string, inFlightMilliseconds: number]>;
};

/** Requests that were present at crashes, and that one instance has answered completely. */
export type SurvivalReport = {
	kind: 'survival';
	instance: string;
	at: number;
	/** The crashes that each was known to have been present at, by their incarnations. */
	requests: Array<[fingerprint: string, incarnations: string[]]>;
};

export type Report = CrashReport | SurvivalReport;

/** Why a request is blocked. */
export type Block = {
	fingerprint: string;
	/** The latest reports of the crashes, the newest last. */
	crashes: CrashReport[];
	/** When the evidence expires, in milliseconds since the epoch. */
	until: number;
};

/** A report expires after one day: by then the cause may have been fixed at the endpoints. */
export const reportRetentionMilliseconds = 86_400_000;
/** How many reports are kept: far more than endpoints fail in a day. */
export const maxReports = 500;
/** More requests than an endpoint runs and queues for one instance; those in flight for the shortest time are kept. */
export const maxRequestsPerReport = 64;

export class CrashLedger {
	readonly #listeners: Array<() => void> = [];
	readonly #reports = new Map<string, Report>();
	/** By fingerprint; `undefined` while it has to be computed again. */
	#blocked: ReadonlyMap<string, Block> | undefined = new Map();
	#suspects: ReadonlyMap<string, ReadonlySet<string>> = new Map();

	/** Whether any request is blocked. */
	get hasBlocks(): boolean {
		return this.#blocks().size > 0;
	}

	/** The requests that were present at crashes and not answered since: by fingerprint, these crashes. */
	get suspects(): ReadonlyMap<string, ReadonlySet<string>> {
		this.#blocks();
		return this.#suspects;
	}

	/** Calls the listener after reports were added or removed. */
	onChange(listener: () => void): void {
		this.#listeners.push(listener);
	}

	/** All reports by key. */
	reports(): ReadonlyMap<string, Report> {
		return this.#reports;
	}

	/** Adds a report under the key of its row. */
	put(key: string, report: Report): void {
		this.#reports.set(key, report);
		this.#blocked = undefined;
		this.#notify();
	}

	remove(key: string): void {
		if (this.#reports.delete(key)) {
			this.#blocked = undefined;
			this.#notify();
		}
	}

	/** Removes expired reports, and the oldest ones beyond the bound; first those that block no request. */
	prune(wallMilliseconds: number): string[] {
		const expired = [...this.#reports].filter(([, {at}]) => wallMilliseconds - at > reportRetentionMilliseconds).map(([key]) => key);
		for (const key of expired) {
			this.remove(key);
		}

		const surplus = this.#reports.size <= maxReports ? [] : this.#leastUseful().slice(0, this.#reports.size - maxReports);
		for (const key of surplus) {
			this.remove(key);
		}

		return [...expired, ...surplus];
	}

	/** Why a request is blocked; `undefined` if it is not. */
	blockOf(fingerprint: string, wallMilliseconds: number): Block | undefined {
		const block = this.#blocks().get(fingerprint);
		return block === undefined || block.until <= wallMilliseconds ? undefined : block;
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}

	#blocks(): ReadonlyMap<string, Block> {
		this.#blocked ??= this.#compute();
		return this.#blocked;
	}

	#compute(): Map<string, Block> {
		const crashes = [...this.#crashes().values()];
		this.#suspects = new Map(findSuspects(crashes, 1).map(({fingerprint, incarnations}) => [fingerprint, incarnations]));
		return new Map(findCrashingRequests(crashes).map(({fingerprint, incarnations}) => [fingerprint, this.#blockFor(fingerprint, new Set(incarnations))]));
	}

	/** The crashes by incarnation, without the requests that survived being run since. */
	#crashes(): Map<string, Crash> {
		const survivals = new Set<string>();
		for (const report of this.#reports.values()) {
			if (report.kind === 'survival') {
				for (const [fingerprint, incarnations] of report.requests) {
					for (const incarnation of incarnations) {
						survivals.add(`${fingerprint}|${incarnation}`);
					}
				}
			}
		}

		const crashes = new Map<string, Crash & {requests: Map<string, number>}>();
		for (const report of this.#reports.values()) {
			if (report.kind !== 'crash') {
				continue;
			}

			const {incarnation} = report;
			const crash = crashes.get(incarnation) ?? {incarnation, requests: new Map<string, number>()};
			crashes.set(incarnation, crash);
			for (const [fingerprint, inFlightMilliseconds] of report.requests) {
				if (!survivals.has(`${fingerprint}|${incarnation}`)) {
					// Of several attempts at the same endpoint the latest one counts.
					crash.requests.set(fingerprint, Math.min(inFlightMilliseconds, crash.requests.get(fingerprint) ?? Number.POSITIVE_INFINITY));
				}
			}
		}

		return crashes;
	}

	#blockFor(fingerprint: string, incarnations: ReadonlySet<string>): Block {
		const crashes = [...this.#reports.values()]
			.filter((report): report is CrashReport => report.kind === 'crash' && incarnations.has(report.incarnation) && report.requests.some(([present]) => present === fingerprint))
			.toSorted((left, right) => left.at - right.at);
		// Several instances may report one crash; the evidence holds as long as enough crashes have not expired.
		const crashedAt = new Map(crashes.map(({incarnation, at}) => [incarnation, at]));
		const decidingAt = [...crashedAt.values()].toSorted((left, right) => left - right).at(-crashesToBlock) ?? 0;
		return {fingerprint, crashes, until: decidingAt + reportRetentionMilliseconds};
	}

	/** The keys of all reports, those first that are dropped first. */
	#leastUseful(): string[] {
		const useful = new Set([...this.#blocks().values()].flatMap(({crashes}) => crashes));
		const rank = (report: Report): number => report.kind === 'crash' && useful.has(report) ? 1 : 0;
		return [...this.#reports].toSorted(([, left], [, right]) => rank(left) - rank(right) || left.at - right.at).map(([key]) => key);
	}
}
