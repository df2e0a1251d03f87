import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Moment} from '../../ports/moment-clock.js';
import {seededRandom} from '../../peer/random/seeded-random.js';
import {
	decideLease, type LeaseGrant, type LeaseReading, type LeaseRow, isUncontested, remainingGrantMilliseconds, releasedRow,
} from './leader-lease.js';

const lease = 3000;
const at = (storeMilliseconds: number): LeaseReading => ({storeMilliseconds, era: 0, unchangedMilliseconds: 0});
const terms = {leaseMilliseconds: lease, actingMilliseconds: 1500};

test('another instance acquires the lease only after the last grant and a whole lease', () => {
	const row: LeaseRow = {
		holder: 'one', fencingNumber: 4, grantedAt: 10_000, actingMilliseconds: 1500, address: '', engines: ['e1'], era: 0,
	};
	assert.deepEqual(decideLease(row, 'two', at(14_000), terms), {kind: 'wait', milliseconds: 800});
	assert.deepEqual(decideLease(row, 'two', at(14_800), terms), {
		kind: 'take', row: {
			holder: 'two', fencingNumber: 5, grantedAt: 14_800, actingMilliseconds: 1500, address: '', engines: [], era: 0,
		},
	});
	assert.deepEqual(decideLease(row, 'one', at(10_200), terms), {
		kind: 'take', row: {
			holder: 'one', fencingNumber: 4, grantedAt: 10_200, actingMilliseconds: 1500, address: '', engines: [], era: 0,
		},
	});
});

test('shorter grants lead to an earlier takeover, but not before the last grant is over', () => {
	// A holder is suspended right after a renewal. Until another instance may lead, no orders are sent, while the time limit
	// for loading new weights into the engines keeps running.
	const short = {leaseMilliseconds: lease, actingMilliseconds: 600};
	const first = decideLease(undefined, 'one', at(10_000), terms);
	assert.ok(first.kind === 'take');
	const renewed = decideLease(first.row, 'one', at(10_200), short);
	assert.ok(renewed.kind === 'take');
	assert.equal(renewed.row.actingMilliseconds, 1300);
	const later = decideLease(renewed.row, 'one', at(12_000), short);
	assert.ok(later.kind === 'take');
	assert.deepEqual(decideLease(later.row, 'two', at(13_000), terms), {kind: 'wait', milliseconds: 2900});
});

test('the grant of a suspended holder expires, whichever of its clocks missed the suspension', () => {
	const grant: LeaseGrant = {
		row: {
			holder: 'one', fencingNumber: 1, grantedAt: 0, actingMilliseconds: 1500, address: '', engines: [], era: 0,
		},
		since: {steady: 0, wall: 0},
	};
	assert.equal(remainingGrantMilliseconds(grant, {steady: 100, wall: 5100}), -3600);
	assert.equal(remainingGrantMilliseconds(grant, {steady: 5100, wall: -2000}), -3600);
	assert.equal(remainingGrantMilliseconds(grant, {steady: 400, wall: 400}), 1100);
});

/** Which clock of an instance fails: the steady clock stops during suspensions, the time of day jumps. */
type FailingClock = 'steady' | 'wall' | 'either';

/** A simulated instance, whose two clocks fail in different ways. */
class SimulatedInstance {
	readonly name: string;
	grant: LeaseGrant | undefined;
	readonly #failingClock: FailingClock;
	readonly #leaseMilliseconds: number;
	readonly #grantLengths: readonly number[];
	#steady = 0;
	#jump = 0;
	#suspendedUntil = 0;
	#unchanged: {era: number; revision: number; since: number} | undefined;
	#reading: {answerAt: number; since: Moment; seen: Stored; at: number} | undefined;
	#writing: {doneAt: number; row: LeaseRow; revision: number; era: number; since: Moment} | undefined;

	constructor(name: string, {leaseMilliseconds, grantLengths: lengths}: SimulatedTerms, failingClock: FailingClock) {
		this.#grantLengths = lengths;
		this.#failingClock = failingClock;
		this.name = name;
		this.#leaseMilliseconds = leaseMilliseconds;
	}

	/** Advances by one step; returns the instance's moment, or `undefined` while it is suspended. */
	step(time: number, store: {stored: Stored}, random: () => number): Moment | undefined {
		if (time < this.#suspendedUntil) {
			return undefined;
		}

		this.#steady += stepMilliseconds;
		this.#suspendedUntil = this.#failingClock !== 'wall' && random() < 0.0005 ? time + (random() * 8000) : 0;
		this.#jump = this.#failingClock !== 'steady' && random() < 0.001 ? (random() - 0.5) * 8000 : this.#jump;
		const moment = {steady: this.#steady, wall: time + this.#jump};
		if (this.#writing !== undefined && time >= this.#writing.doneAt) {
			this.#write(store, random);
		} else if (this.#reading !== undefined && time >= this.#reading.answerAt) {
			this.#read(time, random);
		} else if (this.#writing === undefined && this.#reading === undefined && random() < 0.05) {
			this.#reading = {
				answerAt: time + (random() * 300), since: moment, seen: store.stored, at: time,
			};
		}

		return moment;
	}

	/** Applies a write if its condition holds, however late; one answer in ten is lost. */
	#write(store: {stored: Stored}, random: () => number): void {
		const {row, revision, era, since} = this.#writing!;
		const isApplied = store.stored.revision === revision;
		store.stored = isApplied ? {...store.stored, row, revision: revision + 1} : store.stored;
		this.grant = isApplied && store.stored.era === era && random() < 0.9 ? {row, since} : undefined;
		this.#writing = undefined;
	}

	#read(time: number, random: () => number): void {
		const {seen, at, since} = this.#reading!;
		const actingMilliseconds = this.#grantLengths[Math.floor(random() * this.#grantLengths.length)]!;
		const decided = decideLease(seen.row, this.name, this.#readingOf(seen, at, since), {leaseMilliseconds: this.#leaseMilliseconds, actingMilliseconds});
		this.#reading = undefined;
		if (decided.kind === 'take') {
			this.#writing = {
				doneAt: time + (random() * 400), row: decided.row, revision: seen.revision, era: seen.era, since,
			};
		}
	}

	/** Counts how long a state was observed: from the first answer that showed it until the latest read was sent. */
	#readingOf({era, revision}: Stored, storeMilliseconds: number, since: Moment): LeaseReading {
		if (this.#unchanged?.era !== era || this.#unchanged.revision !== revision) {
			this.#unchanged = {era, revision, since: this.#steady};
		}

		return {storeMilliseconds, era, unchangedMilliseconds: Math.max(0, since.steady - this.#unchanged.since)};
	}
}

type Stored = {row: LeaseRow | undefined; revision: number; era: number};

const stepMilliseconds = 20;
/** The lease, and the lengths of the grants: longer for a slow store. */
type SimulatedTerms = {leaseMilliseconds: number; grantLengths: readonly number[]};

const varyingTerms: SimulatedTerms = {leaseMilliseconds: lease, grantLengths: [300, 600, 1500]};
const shortTerms: SimulatedTerms = {leaseMilliseconds: lease / 2, grantLengths: [300, 600, 1500]};
/** Where rows may be lost, the length of a lost grant must be bounded: it is the same for all, or at most half of the lease. */
const coordinatorTerms: SimulatedTerms = {leaseMilliseconds: lease / 2, grantLengths: [1500]};

/** One failing clock per instance: over thousands of runs both would fail within one grant, which no lease can tolerate. */
const singleClockFailures: readonly FailingClock[] = ['steady', 'wall'];

/** Occasionally restores the store from a copy of the last six seconds. */
function sometimesRestored(stored: Stored, copies: readonly Stored[], random: () => number): Stored {
	const copy = copies.at(-1 - Math.floor(random() * 300)) ?? copies[0]!;
	return random() < 0.0008 ? {...copy, era: stored.era + 1} : stored;
}

/** Simulates five instances for a minute; throws if two of them give orders less than a lease apart or numbers decrease. */
function simulateHolders(seed: number, era: number, restores: boolean): number {
	const oddTerms = restores ? coordinatorTerms : shortTerms;
	const simulatedTerms = seed % 2 === 0 ? varyingTerms : oddTerms;
	const {leaseMilliseconds} = simulatedTerms;
	const random = seededRandom(seed);
	const store: {stored: Stored} = {stored: {row: undefined, revision: 0, era}};
	const copies: Stored[] = [];
	const instances = Array.from({length: 5}, (_, index) => new SimulatedInstance(`i${index}`, simulatedTerms, restores ? singleClockFailures[index % 2]! : 'either'));
	let last: {holder: string; at: number; fence: number} | undefined;
	let holderChanges = 0;
	for (let time = 0; time < 60_000; time += stepMilliseconds) {
		copies.push(store.stored);
		store.stored = restores ? sometimesRestored(store.stored, copies, random) : store.stored;

		const uncontested: string[] = [];
		const leaders: string[] = [];
		for (const instance of instances) {
			const moment = instance.step(time, store, random);
			if (moment !== undefined && instance.grant !== undefined && isUncontested(instance.grant, leaseMilliseconds, moment)) {
				uncontested.push(instance.name);
			}

			if (moment === undefined || instance.grant === undefined || remainingGrantMilliseconds(instance.grant, moment) <= 0) {
				continue;
			}

			leaders.push(instance.name);

			const {holder, fencingNumber: fence} = instance.grant.row;
			const hasHolderChanged = last !== undefined && last.holder !== holder;
			holderChanges += hasHolderChanged ? 1 : 0;
			assert.ok(!hasHolderChanged || time - last!.at >= leaseMilliseconds, `seed ${seed}: ${last?.holder} at ${last?.at}, ${holder} at ${time}`);
			assert.ok(!hasHolderChanged || fence > last!.fence, `seed ${seed}: number ${fence} after ${last?.fence}`);
			last = {holder, at: time, fence};
		}

		assert.ok(leaders.every(name => uncontested.every(other => other === name)), `seed ${seed}: ${leaders.join(', ')} leads at ${time} while ${uncontested.join(', ')} is uncontested`);
	}

	assert.ok(restores || last !== undefined);
	return holderChanges;
}

test('orders of two holders are at least a lease apart', () => {
	// Five instances acquire and lose the lease under random suspensions, jumps of the time of day, slow calls, late writes and
	// lost answers; each gives orders while its grant is valid. With orders of two holders less than a lease apart, an engine
	// could get alternating orders of both; with an older number after a newer one, it would obey the older holder.
	for (let seed = 1; seed <= 200; seed++) {
		simulateHolders(seed, 0, false);
	}
});

test('orders are a lease apart also where the store is restored from older copies', () => {
	// Guards against two holders at once: a restored store has lost the row of a holder whose grant is still valid, or holds
	// the row of a previous holder, and issues revisions again, so that a late write is applied by accident.
	let holderChanges = 0;
	for (let seed = 1; seed <= 300; seed++) {
		holderChanges += simulateHolders(seed, 1, true);
	}

	assert.ok(holderChanges > 300, `only ${holderChanges} changes of the holder`);
});

test('a released lease is acquired at once, with a new number', () => {
	const row = releasedRow({
		holder: 'one', fencingNumber: 4, grantedAt: 10_000, actingMilliseconds: 1500, address: '', engines: ['e1'], era: 0,
	});
	assert.equal(decideLease(row, 'two', at(10_001), terms).kind, 'take');
});
