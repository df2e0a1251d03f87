/**
 * Sends bookings to real processes under faults: entries are killed (SIGKILL) and replaced, or paused for longer than the
 * lease (SIGSTOP, then SIGCONT), and the table and the plain services apply writes whose answers are lost. The plain
 * services count the runs. A seed decides the order of the faults, but not the timing of the processes.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {demoDeclarationPath} from '../demo/demo-declaration.js';
import {type DeployedProcess, Deployment} from '../demo/deployment.js';
import {Choices} from './choices.js';

const standstillMilliseconds = 6500;
const callerTimeoutMilliseconds = 4000;
const repeatMilliseconds = 200;
const tryLimit = 60;
const callersAtOnce = 8;

/** The counts of a run. Every member but the first five must be 0. */
export type BookingsReport = {
	bookings: number;
	answered: number;
	unknown: number;
	kills: number;
	standstills: number;
	duplicateRuns: number;
	falseNotRun: number;
	crossedAnswers: number;
	answeredButNotRun: number;
	withoutFinalWord: number;
};

type Word = 'answered' | 'not-run' | 'unknown' | 'nothing';
type Booked = {name: string; words: Word[]; bodies: string[]};

/**
 * Sends bookings under faults.
 *
 * @param plan - The number of bookings, and the seed of the faults.
 * @returns The counts of the run.
 */
export async function runBookings({bookings, seed}: {bookings: number; seed: number}): Promise<BookingsReport> {
	const deployment = new Deployment({
		dataCentres: ['split-riva', 'split-luka'],
		entriesPerDataCentre: 2,
		enginesPerDataCentre: 0,
		modelServices: [],
		plainService: 'bookings',
	});
	try {
		await deployment.start();
		await deployment.apply(demoDeclarationPath, 'bookings under faults', () => undefined);
		return await new BookingsRun(deployment, Choices.fromSeed(seed)).run(bookings);
	} finally {
		await deployment.stop();
	}
}

class BookingsRun {
	readonly #deployment: Deployment;
	readonly #choices: Choices;
	readonly #booked: Booked[] = [];
	readonly #standstills: Array<Promise<void>> = [];
	#kills = 0;

	constructor(deployment: Deployment, choices: Choices) {
		this.#deployment = deployment;
		this.#choices = choices;
	}

	async run(bookings: number): Promise<BookingsReport> {
		let next = 0;
		const caller = async (): Promise<void> => {
			while (next < bookings) {
				const number = next++;
				if (number % 8 === 7) {
					await this.#break();
				}

				await this.#book(`pitch-${number}`);
			}
		};

		await Promise.all(Array.from({length: callersAtOnce}, caller));
		await Promise.all(this.#standstills);
		return this.#report();
	}

	get #entries(): DeployedProcess[] {
		return this.#deployment.withRole('entry');
	}

	async #break(): Promise<void> {
		const fault = this.#choices.oneOf(['lose table answers', 'lose service answers', 'kill', 'stand still'] as const);
		const entries = this.#entries;
		if (entries.length === 0) {
			return;
		}

		const entry = this.#choices.oneOf(entries);
		switch (fault) {
			case 'lose table answers': {
				await this.#deployment.setFaults(this.#deployment.platform.table, {loseAnswers: this.#choices.between(1, 3)});
				break;
			}

			case 'lose service answers': {
				const {listed} = this.#choices.oneOf(this.#deployment.withRole('plain-service'));
				await this.#deployment.setFaults(listed.address, {loseAnswers: 1});
				break;
			}

			case 'kill': {
				this.#kills++;
				this.#deployment.instances.splice(this.#deployment.instances.indexOf(entry), 1);
				entry.process.child.kill('SIGKILL');
				await this.#deployment.startEntry(`${entry.listed.name}-next-${this.#kills}`, entry.listed.dataCentre);
				await this.#deployment.announce();
				break;
			}

			case 'stand still': {
				entry.process.child.kill('SIGSTOP');
				this.#standstills.push(delay(standstillMilliseconds).then(() => {
					entry.process.child.kill('SIGCONT');
				}));
				break;
			}
		}
	}

	/** Sends one booking with one idempotency key to changing entries until its outcome is final. */
	async #book(name: string): Promise<void> {
		const booked: Booked = {name, words: [], bodies: []};
		this.#booked.push(booked);
		let unknownWords = 0;
		for (let count = 0; count < tryLimit; count++) {
			const entries = this.#entries;
			// Seed 424242 killed all four entries before the first replacement had started, so the list can be empty for a while.
			const entry = entries[this.#choices.between(0, Math.max(0, entries.length - 1))];
			const word = entry === undefined ? 'again' : await ask(entry.listed.address, booked);
			// A caller that gets "outcome unknown" sends the booking once more, which must not run it again.
			unknownWords += word === 'unknown' ? 1 : 0;
			if (word === 'answered' || unknownWords > 1) {
				return;
			}

			await delay(repeatMilliseconds);
		}

		booked.words.push('nothing');
	}

	async #report(): Promise<BookingsReport> {
		const runs = new Map<string, number>();
		for (const {listed} of this.#deployment.withRole('plain-service')) {
			const {runsByBooking} = await this.#deployment.countsOf(listed.address) as {runsByBooking: Record<string, number>};
			for (const [name, count] of Object.entries(runsByBooking)) {
				runs.set(name, (runs.get(name) ?? 0) + count);
			}
		}

		const count = (is: (booked: Booked, runs: number) => boolean): number => this.#booked.filter(booked => is(booked, runs.get(booked.name) ?? 0)).length;
		return {
			bookings: this.#booked.length,
			answered: count(({words}) => words.at(-1) === 'answered'),
			unknown: count(({words}) => words.at(-1) === 'unknown'),
			kills: this.#kills,
			standstills: this.#standstills.length,
			duplicateRuns: count((_booked, ran) => ran > 1),
			falseNotRun: count(({words}, ran) => ran > 0 && words.every(word => word === 'not-run')),
			crossedAnswers: count(({name, bodies}) => bodies.some(body => body !== `confirmed-${name}`)),
			answeredButNotRun: count(({words}, ran) => ran === 0 && words.includes('answered')),
			withoutFinalWord: count(({words}) => words.at(-1) !== 'answered' && words.at(-1) !== 'unknown'),
		};
	}
}

type BookingAnswer = {confirmation?: string; error?: {code: string; ran: string}};

/** Sends a booking once. Neither `in-progress` nor a broken connection is a final outcome. */
async function ask(address: string, booked: Booked): Promise<'answered' | 'unknown' | 'again'> {
	try {
		const answer = await request(`http://${address}/services/bookings/bookings`, {
			method: 'POST',
			headers: {authorization: 'Bearer quay-demo-key', 'content-type': 'application/json', 'idempotency-key': `key-of-${booked.name}`},
			body: JSON.stringify({booking: booked.name}),
			signal: AbortSignal.timeout(callerTimeoutMilliseconds),
		});
		const body = await answer.body.json() as BookingAnswer;
		if (body.error === undefined) {
			booked.words.push('answered');
			booked.bodies.push(body.confirmation ?? '');
			return 'answered';
		}

		booked.words.push(body.error.ran === 'not-run' ? 'not-run' : 'unknown');
		return body.error.code === 'outcome-unknown' ? 'unknown' : 'again';
	} catch {
		booked.words.push('nothing');
		return 'again';
	}
}
