/**
 * The endpoints that this instance knows, from the platform's list.
 *
 * The list loses endpoints while the store is unavailable, since none can renew its entry. An endpoint whose row vanished
 * around an outage may be alive: dropped at once, a whole service would be without endpoints for two seconds after each outage.
 * So it is kept as unconfirmed, used only where no confirmed one is left, and dropped when the store has been back for as long
 * as a living endpoint needs to write its row again. A row that vanishes while the store is available ends the use of its
 * endpoint at once.
 *
 * A row may be older than what is known of its endpoint, since writes may be performed late and the store may come back from an older
 * copy. Such a row does not make an endpoint usable; see `RowOrder`.
 *
 * An endpoint also says in its answers that it leaves, at times long before its row can say so. Rows of that incarnation that
 * arrive later do not make it usable again.
 */
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {ChangeSignal} from '../../shared/change-signal.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {EndpointRecords} from './endpoint-records.js';
import {hasSameWeights} from './has-same-weights.js';
import {IncarnationSet} from './incarnation-set.js';
import {RowAppearances} from './row-appearances.js';
import {type HeldRow, RowOrder} from './row-order.js';
import {maxListAgeMilliseconds, type UsedVersions, VersionHistory} from './version-history.js';

/** An endpoint whose row is missing since an outage of the store, and until when it may be used. */
type UnconfirmedEndpoint = {record: EndpointRecord; until: number};

/** What changed in the registry. */
export type RegistryChange = {
	appeared: EndpointRecord[];
	/** Departed, or replaced by another incarnation of the same name. */
	vanished: EndpointRecord[];
	/** The rows that are believed now. */
	believed: EndpointRecord[];
	/** Listed before and since, in another state. */
	turned: EndpointRecord[];
	/** Rows that are held from now on; see `RowOrder`. */
	held: HeldRow[];
};

/**
 * How long a living endpoint needs to write its row again once the store is back: about two seconds, as the platform states,
 * and one tenth more for the delay of the update.
 */
export const reRegistrationMilliseconds = 2200;
const defaultHeartbeatMilliseconds = 1200;

export class EndpointRegistry {
	/** When the present rows appeared. */
	readonly appearances = new RowAppearances();
	/** Notified when an endpoint was listed, changed its state, or has other weights. */
	readonly weightChanges = new ChangeSignal();
	readonly #records = new EndpointRecords();
	readonly #unconfirmed = new Map<string, UnconfirmedEndpoint>();
	readonly #versions = new VersionHistory();
	/** Until when an outage may be the reason that a row vanishes, in milliseconds of the steady clock. */
	#outageUntil = 0;
	/** Incarnations that are leaving or have departed. */
	readonly #departures = new IncarnationSet();
	/** Incarnations that have said in an answer that they leave. */
	readonly #announced = new IncarnationSet();
	/** Incarnations whose process was found to have ended. */
	readonly #ended = new IncarnationSet();
	readonly #rows: RowOrder;
	/** As of when the list was confirmed. */
	#confirmedAt: Moment | undefined;

	/** @param heartbeatMilliseconds - How often an endpoint renews its row. */
	constructor(heartbeatMilliseconds = defaultHeartbeatMilliseconds) {
		this.#rows = new RowOrder(heartbeatMilliseconds);
	}

	/** Notified when a service may have ceased to have one software version only; see `VersionHistory`. */
	get versionChanges(): ChangeSignal {
		return this.#versions.changes;
	}

	/** Records that the store failed to answer, at a time of the steady clock in milliseconds. */
	noteStoreFailure(failedAt: number): void {
		this.#versions.interrupt();
		this.#rows.noteStoreFailure(failedAt);
		this.#outageUntil = Math.max(this.#outageUntil, failedAt + reRegistrationMilliseconds);
		for (const endpoint of this.#unconfirmed.values()) {
			endpoint.until = this.#outageUntil;
		}
	}

	/**
	 * Applies the whole list.
	 *
	 * @param records - All rows that could be read.
	 * @param now - Milliseconds of the steady clock.
	 * @param isRestored - Whether the store has just come back from an older copy.
	 */
	replaceAll(records: readonly EndpointRecord[], now: number, isRestored = false): RegistryChange {
		const change = noChange();
		this.#versions.interrupt();
		const names = new Set(records.map(({name}) => name));
		this.#rows.retain(names);
		for (const name of this.#records.keys()) {
			if (!names.has(name)) {
				this.#remove(name, now, change);
			}
		}

		for (const record of records) {
			this.#apply(record, now, change, isRestored);
		}

		return change;
	}

	/** Applies one row of the list, at a time of the steady clock in milliseconds. */
	put(record: EndpointRecord, now: number): RegistryChange {
		const change = noChange();
		this.#apply(record, now, change);
		return change;
	}

	/** Applies the removal of a row, at a time of the steady clock in milliseconds. */
	remove(name: string, now: number): RegistryChange {
		const change = noChange();
		this.#remove(name, now, change);
		return change;
	}

	/** Drops unconfirmed endpoints and believes rows that were held, each when its time is over. */
	expire(now: number): RegistryChange {
		const change = noChange();
		for (const [name, {record, until}] of this.#unconfirmed) {
			if (until <= now) {
				this.#unconfirmed.delete(name);
				this.appearances.forget(name);
				this.#rows.noteRemoved(name, record);
				this.#departures.add(record);
				change.vanished.push(record);
			}
		}

		for (const record of this.#rows.release(now)) {
			this.#put(record, change, true);
		}

		return change;
	}

	/**
	 * Records that an endpoint has said in an answer that it leaves.
	 *
	 * @returns Whether this incarnation had not said so before.
	 */
	announceLeaving(endpoint: EndpointRecord): boolean {
		if (this.#announced.has(endpoint)) {
			return false;
		}

		this.#announced.add(endpoint);
		const listed = this.#records.get(endpoint.name);
		if (listed?.startedAt === endpoint.startedAt) {
			this.#records.put({...listed, state: 'leaving'});
		}

		const unconfirmed = this.#unconfirmed.get(endpoint.name);
		if (unconfirmed?.record.startedAt === endpoint.startedAt) {
			unconfirmed.record = {...unconfirmed.record, state: 'leaving'};
		}

		this.#departures.add(endpoint);
		return true;
	}

	/** Records that the address of an endpoint answers under another name. */
	markLeaving(name: string): void {
		const record = this.#records.get(name);
		if (record !== undefined) {
			this.#records.put({...record, state: 'leaving'});
			this.#departures.add(record);
		}
	}

	/** Records that the process of an endpoint has ended: its row may be older than what answers at its address by now. */
	noteEnded(endpoint: EndpointRecord): void {
		// Without a start, the next incarnation could not be told from this one.
		if (endpoint.startedAt > 0) {
			this.#ended.add(endpoint);
		}
	}

	/** Whether the process of an incarnation was found to have ended. */
	hasEnded(record: EndpointRecord): boolean {
		return this.#ended.has(record);
	}

	/** Whether an incarnation has announced that it leaves, or has left the list. */
	hasDeparted(record: EndpointRecord): boolean {
		return this.#departures.has(record);
	}

	/** Records the weights that an engine answered with: they override the list, which is updated later. */
	noteWeightVersion(name: string, model: string, version: number): void {
		const record = this.#records.get(name);
		if (record !== undefined && record.weightVersions.get(model) !== version) {
			this.#records.put({...record, weightVersions: new Map([...record.weightVersions, [model, version]])});
			this.weightChanges.notify();
		}
	}

	/**
	 * The endpoints of a service that may get new requests; unconfirmed ones, and those whose removed row is back, only where no other is
	 * left.
	 *
	 * @param service - Its name.
	 * @param now - Milliseconds of the steady clock.
	 * @param isWanted - Leaves out endpoints, also where it is decided whether any confirmed one is left.
	 */
	usable(service: string, now: number, isWanted?: (record: EndpointRecord) => boolean): readonly EndpointRecord[] {
		const ready = this.#records.readyOf(service);
		const confirmed = isWanted === undefined ? ready : ready.filter(record => isWanted(record));
		const unconfirmed = confirmed.length > 0
			? []
			: this.#uncertain(now).filter(record => record.service === service && record.state === 'ready' && (isWanted?.(record) ?? true));
		return unconfirmed.length > 0 ? unconfirmed : confirmed;
	}

	/** Records that the list was confirmed as of a moment, which `confirm` records without the time of day. */
	confirmAt(confirmedAt: Moment, now: Moment): void {
		if (this.#confirmedAt === undefined || confirmedAt.steady > this.#confirmedAt.steady) {
			this.#confirmedAt = confirmedAt;
		}

		this.confirm(confirmedAt.steady, now.steady);
	}

	/** Records that the list was confirmed as of a time, both in milliseconds of the steady clock. */
	confirm(confirmedAt: number, now: number): void {
		this.appearances.confirm(confirmedAt);
		this.#versions.confirm([...this.#records.values(), ...[...this.#unconfirmed.values()].map(({record}) => record)], confirmedAt, now);
	}

	/**
	 * The only software version at which a stream of a service that still lasts can have begun; `undefined` if not proven.
	 *
	 * @param streamMilliseconds - How long such a stream may last.
	 */
	soleVersion(service: string, now: number, streamMilliseconds?: number): string | undefined {
		return this.#versions.soleVersion(service, now, streamMilliseconds);
	}

	/** The same as `soleVersion`; the list is also too old if this machine stood still together with its steady clock. */
	soleVersionAt(service: string, now: Moment): string | undefined {
		const isOld = this.#confirmedAt !== undefined && longestElapsed(this.#confirmedAt, now) > maxListAgeMilliseconds;
		return isOld ? undefined : this.soleVersion(service, now.steady);
	}

	/** Records the software versions that all instances together have used; see `VersionHistory`. */
	coverVersions(used: UsedVersions | 'none', confirmedAt: number): void {
		this.#versions.cover(used, confirmedAt);
	}

	/** Records that these have not changed up to a time of the steady clock in milliseconds. */
	confirmCoveredVersions(confirmedAt: number): void {
		this.#versions.confirmCoverage(confirmedAt);
	}

	/** The software versions at which streams that still last can have begun, of those services of which all are known. */
	usedVersions(now: number): UsedVersions {
		return this.#versions.usedVersions(now);
	}

	/** Whether a service has had several software versions while streams that still last can have begun. */
	hasSeveralVersions(service: string): boolean {
		return this.#versions.hasSeveral(service);
	}

	/** Until when the list proves that a service has one software version, in milliseconds of the steady clock. */
	get versionsProvenUntil(): number {
		return this.#versions.provenUntil;
	}

	/** The same as `hasSeveralVersions`, for any service. */
	get hasAnySeveralVersions(): boolean {
		return this.#versions.hasAnySeveral;
	}

	/** Whether other instances may not know yet that an endpoint's software version is in use. */
	hasRecentVersion(record: EndpointRecord, now: number): boolean {
		return this.#versions.isRecent(record, now);
	}

	/** All endpoints in the list, including those that are leaving. */
	all(): readonly EndpointRecord[] {
		return this.#records.all;
	}

	byName(name: string): EndpointRecord | undefined {
		return this.#records.get(name);
	}

	/** Endpoints that may be alive, although the list does not prove it. */
	#uncertain(now: number): EndpointRecord[] {
		const missing = [...this.#unconfirmed.values()].filter(({until}) => until > now);
		const held = [...this.#rows.held].filter(({record, reason}) => reason === 'removed' && !this.#announced.has(record));
		return [...missing, ...held].map(({record}) => record);
	}

	#apply(row: EndpointRecord, now: number, change: RegistryChange, isRestored = false): void {
		const listed = this.#records.get(row.name);
		const missing = this.#unconfirmed.get(row.name)?.record;
		const unlisted = missing === undefined ? 'removed' : 'missing';
		const decision = this.#rows.decide(row, {kind: listed === undefined ? unlisted : 'listed', record: listed ?? missing, hasDeparted: this.#departures.has(row)}, now, isRestored);
		if (decision === 'believe') {
			this.#put(row, change, isRestored);
			return;
		}

		// Streams may have begun at its version through instances that believed it.
		this.#versions.note(row);
		if (decision === 'hold') {
			change.held.push(this.#rows.heldRow(row.name)!);
		}
	}

	#put(listed: EndpointRecord, change: RegistryChange, isRestored = false): void {
		const record = this.#announced.has(listed) ? {...listed, state: 'leaving' as const} : listed;
		const known = this.#records.get(record.name) ?? this.#unconfirmed.get(record.name)?.record;
		this.#unconfirmed.delete(record.name);
		const previous = this.#records.get(record.name);
		this.#records.put(record);
		this.#versions.note(record);
		change.believed.push(record);
		if (previous === undefined || !hasSameWeights(previous, record)) {
			this.weightChanges.notify();
		}

		if (record.state === 'leaving') {
			this.#departures.add(record);
		} else {
			this.#departures.delete(record);
		}

		this.#supersedeAt(record);
		if (known?.startedAt === record.startedAt && known.softwareVersion === record.softwareVersion) {
			if (known.state !== record.state) {
				change.turned.push(record);
			}

			return;
		}

		this.appearances.note(record, known, isRestored);
		if (known !== undefined) {
			change.vanished.push(known);
		}

		change.appeared.push(record);
	}

	/**
	 * An endpoint that crashed and came back under another name has its old row for some heartbeats more. A request that is
	 * sent by that row is rejected by the new incarnation and costs a caller one of its attempts. One address has one endpoint,
	 * and the younger row is the valid one.
	 */
	#supersedeAt({name, address, startedAt: bornAt}: EndpointRecord): void {
		for (const other of this.#records.values()) {
			if (other.address === address && other.name !== name && other.startedAt < bornAt) {
				this.#records.put({...other, state: 'leaving'});
			}
		}
	}

	#remove(name: string, now: number, change: RegistryChange): void {
		const record = this.#records.get(name);
		const isHeld = this.#rows.heldRow(name) !== undefined;
		this.#rows.noteRemoved(name, record);
		if (record === undefined) {
			if (!this.#unconfirmed.has(name) && !isHeld) {
				// Its row may have appeared since the last update, at any version.
				this.#versions.interrupt();
			}

			return;
		}

		this.#records.delete(name);
		if (now < this.#outageUntil && record.state === 'ready') {
			this.#unconfirmed.set(name, {record, until: this.#outageUntil});
			return;
		}

		this.appearances.forget(name);
		this.#departures.add(record);
		change.vanished.push(record);
	}
}

function noChange(): RegistryChange {
	return {
		appeared: [], vanished: [], believed: [], turned: [], held: [],
	};
}
