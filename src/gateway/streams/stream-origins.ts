/**
 * What instances know together about where streams began: each keeps its own records, and sends them to a few peers of its data
 * centre that any other instance finds by the stream's key. The instance that began a stream may end at once; a peer that ends
 * costs one of the copies.
 *
 * While a service has had one software version only, for as long as any stream may last, nothing is sent and nobody is asked.
 *
 * Where all that know a stream may have ended, the store is read; see `StoredOrigins`.
 */
import {type MomentClock} from '../../ports/moment-clock.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {alignedTime} from '../../shared/aligned-time.js';
import {InterruptibleSleep} from '../../shared/interruptible-sleep.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {OriginRecords, type OriginRecord} from './origin-records.js';
import {answerTimeoutMilliseconds, PeerConnection} from './peer-connection.js';
import {maxTextLength, type PeerAnswer} from './stream-messages.js';
import {maxOriginLifetimeMilliseconds, type StreamOrigin} from './stream-origin.js';
import {type StoredOrigins} from './stored-origins.js';
import {type StreamPeers} from './stream-peers.js';

/** `sole-version`: the stream is not known, but its service has had no other version while it can have begun. */
export type OriginAnswer
	= | {kind: 'known'; origin: StreamOrigin}
		| {kind: 'sole-version'; softwareVersion: string}
		| {kind: 'unknown'; /** When more may be known; absent where another instance may know it now. */ retryAfterMilliseconds?: number};

export interface StreamOrigins {
	/**
	 * Records where a stream began; to be called before its first event is forwarded.
	 *
	 * @param key - See `streamKey`.
	 * @param lifetimeMilliseconds - For how long a caller may take the stream up; 2 minutes at most.
	 */
	record(key: string, origin: StreamOrigin, lifetimeMilliseconds: number): void;

	/**
	 * Finds out where a stream began.
	 *
	 * @param key - See `streamKey`.
	 * @param service - The service to which the caller's request would go.
	 */
	findOrigin(key: string, service: string): Promise<OriginAnswer>;
}

export type SharedStreamOriginsDependencies = {
	clock: MomentClock;
	peers: StreamPeers;
	/** What all instances share; `undefined` while this one does not know it. */
	key: () => string | undefined;
	/** The only software version that a service has had for as long as any stream may last; `undefined` if that is not proven. */
	soleVersion: (service: string) => string | undefined;
	/** Tells when `soleVersion` may change; a change of how long streams may last is found within a second. */
	endpoints: Pick<EndpointRegistry, 'versionChanges' | 'versionsProvenUntil'>;
	/** Records in the store; absent where there is no store. */
	stored?: Pick<StoredOrigins, 'add' | 'read'>;
	/** Whether a service has had several software versions while streams that still last can have begun. */
	hasSeveralVersions?: (service: string) => boolean;
	/** The maximum number of records of this instance, and of those that it keeps for peers. */
	maxRecords?: number;
};

const defaultMaxRecords = 50_000;
/** How many peers keep a record: two of them may end at once. */
const owners = 3;
/** How many peers are asked: lists of peers may differ by a few that have just come or gone. */
const askedPeers = 5;
const askTimeoutMilliseconds = 150;
/** Checks fall on multiples of this. It is also the interval between attempts to share records for which there was no peer. */
const checkIntervalMilliseconds = 100;
/** A record is kept for up to this much longer than its lifetime. */
const lifetimeRoundingMilliseconds = 1000;
/** After a read of the store, what another data centre has written since is found by the next one. */
const storedRetryMilliseconds = 1000;
/** Records whose owners are chosen at a time: a few milliseconds of work, between which requests are served. */
const slice = 100;

export class SharedStreamOrigins implements StreamOrigins, Child {
	readonly name = 'stream-origins';
	readonly #dependencies: SharedStreamOriginsDependencies;
	/** Streams that began here. */
	readonly #own: OriginRecords;
	/** Streams that began at peers. */
	readonly #others: OriginRecords;
	/** Services with own records that no peer has, and when the last of these expires. */
	readonly #unshared = new Map<string, number>();
	/** Services whose unshared records were written to the store since they had one version only. */
	readonly #storedAlone = new Set<string>();
	readonly #connections = new Map<string, PeerConnection>();
	readonly #pause: InterruptibleSleep;
	/** When the present sleep ends; the distant past while there is none. */
	#wakesAt = Number.NEGATIVE_INFINITY;

	constructor(dependencies: SharedStreamOriginsDependencies) {
		const {maxRecords = defaultMaxRecords} = dependencies;
		this.#dependencies = dependencies;
		this.#pause = new InterruptibleSleep(dependencies.clock);
		this.#own = new OriginRecords(maxRecords);
		this.#others = new OriginRecords(maxRecords);
		dependencies.endpoints.versionChanges.subscribe(() => {
			if (this.#unshared.size > 0) {
				this.#wakeBy(Number.NEGATIVE_INFINITY);
			}
		});
	}

	/** Records of this instance and for peers. */
	get size(): number {
		return this.#own.size + this.#others.size;
	}

	/** Shares records when their service ceases to have one version only, and closes connections that have failed or are idle. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#shareUnshared();
			await this.#checkConnections();
			const now = this.#now();
			this.#wakesAt = alignedTime(this.#nextCheckAt(now), now, checkIntervalMilliseconds);
			await (this.#wakesAt === Number.POSITIVE_INFINITY ? this.#pause.wait(signal) : this.#pause.sleep(this.#wakesAt - now, signal));
			this.#wakesAt = Number.NEGATIVE_INFINITY;
		}

		for (const connection of this.#connections.values()) {
			connection.close();
		}

		this.#connections.clear();
	}

	record(key: string, origin: StreamOrigin, lifetimeMilliseconds: number): void {
		const remainingMilliseconds = Math.min(maxOriginLifetimeMilliseconds, lifetimeMilliseconds);
		const now = this.#now();
		this.#own.put(key, origin, remainingMilliseconds, now);
		const isSole = this.#dependencies.soleVersion(origin.service) !== undefined;
		if (isSole) {
			this.#storedAlone.delete(origin.service);
		}

		if (isSole || !this.#share([{key, origin, remainingMilliseconds}], now)) {
			const expiresAt = now + remainingMilliseconds + lifetimeRoundingMilliseconds;
			this.#unshared.set(origin.service, Math.max(expiresAt, this.#unshared.get(origin.service) ?? expiresAt));
			this.#wakeBy(this.#nextShareAt(isSole, now));
		}
	}

	async findOrigin(key: string, service: string): Promise<OriginAnswer> {
		const answer = this.answer(key, service);
		if (answer.kind === 'known') {
			return {kind: 'known', origin: answer.record.origin};
		}

		const asked = answer.kind === 'sole-version' ? answer : await this.#askPeers(key, service);
		return asked.kind === 'unknown' ? this.#findStored(key, service) : asked;
	}

	/** Returns what this instance knows itself. */
	answer(key: string, service: string): PeerAnswer {
		const now = this.#now();
		const record = this.#own.recordOf(key, now) ?? this.#others.recordOf(key, now);
		if (record !== undefined) {
			return {kind: 'known', record};
		}

		const softwareVersion = this.#dependencies.soleVersion(service);
		return softwareVersion === undefined ? {kind: 'unknown'} : {kind: 'sole-version', softwareVersion};
	}

	/** Keeps records that a peer has sent, and writes them to the store if this instance does that for its data centre. */
	receive(records: readonly OriginRecord[]): void {
		this.keep(records);
		if (this.#dependencies.peers.recorder(this.#now()) === undefined) {
			this.#dependencies.stored?.add(records);
		}
	}

	/** Keeps records for peers. */
	keep(records: readonly OriginRecord[]): void {
		for (const {key, origin, remainingMilliseconds} of records) {
			this.#others.put(key, origin, remainingMilliseconds, this.#now());
		}
	}

	/** Asks peers; the first that knows the stream is enough, and a sole version counts only if none does. */
	async #askPeers(key: string, service: string): Promise<OriginAnswer> {
		const now = this.#now();
		const connections = this.#dependencies.peers.ownersOf(key, askedPeers, now).map(address => this.#connectionTo(address, now)).filter(connection => connection !== undefined);
		const soleVersions = new Set<string>();
		return new Promise(resolve => {
			let open = connections.length;
			const settle = (answer: PeerAnswer | undefined): void => {
				open--;
				if (answer?.kind === 'known') {
					this.keep([answer.record]);
					resolve({kind: 'known', origin: answer.record.origin});
				} else if (answer?.kind === 'sole-version') {
					soleVersions.add(answer.softwareVersion);
				}

				if (open <= 0) {
					resolve(agreedVersion(soleVersions));
				}
			};

			if (open === 0) {
				resolve({kind: 'unknown'});
			}

			for (const connection of connections) {
				void (async () => {
					settle(await connection.ask(key, service, askTimeoutMilliseconds, now));
				})();
			}
		});
	}

	/** Reads the store for a stream that no instance knows. */
	async #findStored(key: string, service: string): Promise<OriginAnswer> {
		const {stored, hasSeveralVersions} = this.#dependencies;
		if (stored === undefined || !hasSeveralVersions?.(service)) {
			return {kind: 'unknown'};
		}

		const read = await stored.read();
		if (read.kind === 'read') {
			this.keep(read.records);
		}

		const record = this.#others.recordOf(key, this.#now());
		if (record !== undefined) {
			return {kind: 'known', origin: record.origin};
		}

		return read.kind === 'unavailable' ? {kind: 'unknown'} : {kind: 'unknown', retryAfterMilliseconds: storedRetryMilliseconds};
	}

	/** When the records that no peer has or a connection are to be checked; infinite if there are none. */
	#nextCheckAt(now: number): number {
		const checks = [...this.#connections.values()].map(connection => connection.nextCheckAt(now));
		if (this.#unshared.size === 0) {
			return Math.min(Number.POSITIVE_INFINITY, ...checks);
		}

		const areSole = [...this.#unshared.keys()].every(service => this.#dependencies.soleVersion(service) !== undefined);
		return Math.min(this.#nextShareAt(areSole, now), ...checks);
	}

	/** When records may have to be shared: while their services have one version, not before the list of endpoints is too old. */
	#nextShareAt(isSole: boolean, now: number): number {
		return isSole ? this.#dependencies.endpoints.versionsProvenUntil + 1 : now + checkIntervalMilliseconds;
	}

	/** Ends the present sleep if it lasts longer than to this time. */
	#wakeBy(time: number): void {
		if (alignedTime(time, this.#now(), checkIntervalMilliseconds) < this.#wakesAt) {
			this.#wakesAt = Number.NEGATIVE_INFINITY;
			this.#pause.interrupt();
		}
	}

	async #checkConnections(): Promise<void> {
		const now = this.#now();
		if ([...this.#connections.values()].every(connection => now < connection.nextCheckAt(now))) {
			return;
		}

		// Answers that arrived while this process was paused are read first; otherwise a pause would close all connections.
		await afterNextPoll();
		for (const connection of this.#connections.values()) {
			connection.check(this.#now());
		}

		for (const [address, connection] of this.#connections) {
			if (connection.isClosed) {
				this.#connections.delete(address);
			}
		}
	}

	async #shareUnshared(): Promise<void> {
		const now = this.#now();
		for (const [service, expiresAt] of this.#unshared) {
			if (expiresAt <= now) {
				this.#unshared.delete(service);
			}
		}

		if (this.#unshared.size === 0) {
			return;
		}

		if (!this.#dependencies.peers.hasUsable(now)) {
			this.#storeUnshared(now);
			return;
		}

		for (const [service, expiresAt] of this.#unshared) {
			if (this.#dependencies.soleVersion(service) === undefined) {
				// What is recorded meanwhile adds the service again if it cannot be sent.
				this.#unshared.delete(service);
				const records = this.#own.ofService(service, now);
				for (let start = 0; start < records.length; start += slice) {
					if (!this.#share(records.slice(start, start + slice), this.#now())) {
						this.#unshared.set(service, Math.max(expiresAt, this.#unshared.get(service) ?? expiresAt));
						break;
					}

					await afterNextPoll();
				}
			}
		}
	}

	/** Writes what no peer has to the store, once a service has several versions; later records are written as they come. */
	#storeUnshared(now: number): void {
		const {stored, hasSeveralVersions} = this.#dependencies;
		for (const service of this.#unshared.keys()) {
			if (hasSeveralVersions?.(service) && !this.#storedAlone.has(service)) {
				this.#storedAlone.add(service);
				stored?.add(this.#own.ofService(service, now));
			}
		}
	}

	/** Sends records to the owners of their keys, and to the one that writes them to the store; returns whether there are any owners. */
	#share(records: readonly OriginRecord[], now: number): boolean {
		const {peers, stored} = this.#dependencies;
		const recorder = stored === undefined ? undefined : peers.recorder(now);
		if (recorder === undefined) {
			stored?.add(records);
		}

		const batches = new Map<string, OriginRecord[]>();
		for (const record of records) {
			if (isSendable(record.origin)) {
				const addresses = peers.ownersOf(record.key, owners, now);
				if (addresses.length === 0) {
					return false;
				}

				addToBatches(batches, recorder === undefined || addresses.includes(recorder) ? addresses : [...addresses, recorder], record);
			}
		}

		return this.#send(batches, now);
	}

	#send(batches: ReadonlyMap<string, readonly OriginRecord[]>, now: number): boolean {
		let isSent = true;
		for (const [address, records] of batches) {
			const connection = this.#connectionTo(address, now);
			connection?.send(records, now);
			isSent &&= connection !== undefined;
		}

		return isSent;
	}

	#connectionTo(address: string, now: number): PeerConnection | undefined {
		const existing = this.#connections.get(address);
		const key = this.#dependencies.key();
		this.#wakeBy(now + answerTimeoutMilliseconds);
		if (key === undefined || existing?.isClosed === false) {
			return existing?.isClosed === false ? existing : undefined;
		}

		const connection = new PeerConnection({
			address, key, onFailed: (lost, hasAnswered) => {
				if (this.#connections.get(address) === connection) {
					this.#connections.delete(address);
				}

				this.#sendAgain(address, lost, hasAnswered);
			},
		}, now);
		this.#connections.set(address, connection);
		return connection;
	}

	/**
	 * Sends records that a peer may not have again: over a new connection if the failed one had worked, else to the peer that has
	 * become their owner in its place.
	 */
	#sendAgain(address: string, lost: readonly OriginRecord[], hasAnswered: boolean): void {
		const {peers} = this.#dependencies;
		const now = this.#now();
		if (!hasAnswered) {
			peers.noteFailed(address, now);
		}

		const batches = new Map<string, OriginRecord[]>();
		for (const {key} of lost) {
			const record = this.#own.recordOf(key, now);
			const next = hasAnswered ? address : peers.ownersOf(key, owners, now)[owners - 1];
			if (record !== undefined && next !== undefined) {
				addToBatches(batches, [next], record);
			}
		}

		this.#send(batches, now);
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}

function addToBatches(batches: Map<string, OriginRecord[]>, addresses: readonly string[], record: OriginRecord): void {
	for (const address of addresses) {
		const batch = batches.get(address) ?? [];
		batch.push(record);
		batches.set(address, batch);
	}
}

/** Peers that contradict each other prove nothing. */
function agreedVersion(soleVersions: ReadonlySet<string>): OriginAnswer {
	const [softwareVersion] = soleVersions;
	return softwareVersion !== undefined && soleVersions.size === 1 ? {kind: 'sole-version', softwareVersion} : {kind: 'unknown'};
}

function isSendable({service, softwareVersion}: StreamOrigin): boolean {
	return service.length <= maxTextLength && softwareVersion.length <= maxTextLength;
}
