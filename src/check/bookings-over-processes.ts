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

const pauseMilliseconds = 6500;
const callerTimeoutMilliseconds = 4000;
const retryDelayMilliseconds = 200;
const maxAttempts = 60;
const concurrentCallers = 8;

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

type AttemptOutcome = 'answered' | 'not-run' | 'unknown' | 'nothing';
type SentBooking = {name: string; outcomes: AttemptOutcome[]; bodies: string[]};

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
	readonly #sentBookings: SentBooking[] = [];
	readonly #pauses: Array<Promise<void>> = [];
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
					await this.#injectFault();
				}

				await this.#sendUntilFinal(`pitch-${number}`);
			}
		};

		await Promise.all(Array.from({length: concurrentCallers}, caller));
		await Promise.all(this.#pauses);
		return this.#report();
	}

	get #entries(): DeployedProcess[] {
		return this.#deployment.withRole('entry');
	}

	async #injectFault(): Promise<void> {
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
				this.#pauses.push(delay(pauseMilliseconds).then(() => {
					entry.process.child.kill('SIGCONT');
				}));
				break;
			}
		}
	}

	/** Sends one booking with one idempotency key to changing entries until its outcome is final. */
	async #sendUntilFinal(name: string): Promise<void> {
		const booking: SentBooking = {name, outcomes: [], bodies: []};
		this.#sentBookings.push(booking);
		let unknownOutcomes = 0;
		for (let count = 0; count < maxAttempts; count++) {
			const entries = this.#entries;
			// Seed 424242 killed all four entries before the first replacement had started, so the list can be empty for a while.
			const entry = entries[this.#choices.between(0, Math.max(0, entries.length - 1))];
			const outcome = entry === undefined ? 'again' : await sendOnce(entry.listed.address, booking);
			// A caller that gets "outcome unknown" sends the booking once more, which must not run it again.
			unknownOutcomes += outcome === 'unknown' ? 1 : 0;
			if (outcome === 'answered' || unknownOutcomes > 1) {
				return;
			}

			await delay(retryDelayMilliseconds);
		}

		booking.outcomes.push('nothing');
	}

	async #report(): Promise<BookingsReport> {
		const runs = new Map<string, number>();
		for (const {listed} of this.#deployment.withRole('plain-service')) {
			const {runsByBooking} = await this.#deployment.countsOf(listed.address) as {runsByBooking: Record<string, number>};
			for (const [name, count] of Object.entries(runsByBooking)) {
				runs.set(name, (runs.get(name) ?? 0) + count);
			}
		}

		const count = (matches: (booking: SentBooking, runs: number) => boolean): number => this.#sentBookings.filter(booking => matches(booking, runs.get(booking.name) ?? 0)).length;
		return {
			bookings: this.#sentBookings.length,
			answered: count(({outcomes}) => outcomes.at(-1) === 'answered'),
			unknown: count(({outcomes}) => outcomes.at(-1) === 'unknown'),
			kills: this.#kills,
			standstills: this.#pauses.length,
			duplicateRuns: count((_booking, ran) => ran > 1),
			falseNotRun: count(({outcomes}, ran) => ran > 0 && outcomes.every(outcome => outcome === 'not-run')),
			crossedAnswers: count(({name, bodies}) => bodies.some(body => body !== `confirmed-${name}`)),
			answeredButNotRun: count(({outcomes}, ran) => ran === 0 && outcomes.includes('answered')),
			withoutFinalWord: count(({outcomes}) => outcomes.at(-1) !== 'answered' && outcomes.at(-1) !== 'unknown'),
		};
	}
}

type BookingAnswer = {confirmation?: string; error?: {code: string; ran: string}};

/** Sends a booking once. Neither `in-progress` nor a broken connection is a final outcome. */
async function sendOnce(address: string, booking: SentBooking): Promise<'answered' | 'unknown' | 'again'> {
	try {
		const answer = await request(`http://${address}/services/bookings/bookings`, {
			method: 'POST',
			headers: {authorization: 'Bearer quay-demo-key', 'content-type': 'application/json', 'idempotency-key': `key-of-${booking.name}`},
			body: JSON.stringify({booking: booking.name}),
			signal: AbortSignal.timeout(callerTimeoutMilliseconds),
		});
		const body = await answer.body.json() as BookingAnswer;
		if (body.error === undefined) {
			booking.outcomes.push('answered');
			booking.bodies.push(body.confirmation ?? '');
			return 'answered';
		}

		booking.outcomes.push(body.error.ran === 'not-run' ? 'not-run' : 'unknown');
		return body.error.code === 'outcome-unknown' ? 'unknown' : 'again';
	} catch {
		booking.outcomes.push('nothing');
		return 'again';
	}
}
