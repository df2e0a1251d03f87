/**
 * Runs an admission policy: requests wait here until the policy admits or refuses them. The policy is called at short
 * intervals, so that it notices deadlines that have passed.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	type AdmissionAction, type AdmissionPolicy, type AdmissionRequest, type ServiceCapacity,
} from '../../decision/admission/admission-policy.js';
import {type Clock} from '../../ports/clock.js';
import {type Refusal} from '../../shared/types.js';
import {type Child} from '../../supervisor/supervisor.js';

const advanceIntervalMilliseconds = 20;

export class AdmissionGate implements Child {
	readonly name = 'admission-gate';
	readonly #policy: AdmissionPolicy;
	readonly #clock: Clock;
	/** Requests that were admitted and have not ended. */
	readonly #admitted = new Map<string, AdmissionRequest>();
	readonly #arriving = new Map<string, AdmissionRequest>();
	readonly #waiting = new Map<string, (answer: Either<Refusal, void>) => void>();

	constructor(policy: AdmissionPolicy, clock: Clock) {
		this.#policy = policy;
		this.#clock = clock;
	}

	get policy(): AdmissionPolicy {
		return this.#policy;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#execute(this.#policy.advance(this.#clock.now()));
			await this.#clock.sleep(advanceIntervalMilliseconds, signal);
		}
	}

	/** Waits until the request is admitted or refused. */
	async enter(request: AdmissionRequest): Promise<Either<Refusal, void>> {
		return new Promise(resolve => {
			this.#waiting.set(request.requestId, resolve);
			this.#arriving.set(request.requestId, request);
			this.#execute(this.#policy.arrive(request, this.#clock.now()));
		});
	}

	/** Notes that the first token of an admitted request has arrived. */
	firstToken(requestId: string): void {
		this.#policy.firstToken(requestId, this.#clock.now());
	}

	/** Notes that an admitted request has ended. */
	leave(requestId: string): void {
		this.#admitted.delete(requestId);
		this.#execute(this.#policy.finish(requestId, this.#clock.now()));
	}

	/** Cancels a request, because its caller has disconnected or an operator cancelled it. If it still waits, it is refused. */
	cancel(requestId: string): void {
		this.#admitted.delete(requestId);
		this.#execute(this.#policy.cancel(requestId, this.#clock.now()));
		this.#answer(requestId, Left({reason: 'cancelled', ran: 'not-run', message: 'the request was cancelled while it waited'}));
	}

	/** Counts the admitted requests of a service whose priority allows them to wait, that is, all but the urgent ones. */
	deferrableInFlight(service: string): number {
		let count = 0;
		for (const request of this.#admitted.values()) {
			count += request.service === service && request.priority !== 'urgent' ? 1 : 0;
		}

		return count;
	}

	setCapacity(service: string, capacity: ServiceCapacity): void {
		this.#execute(this.#policy.setCapacity(service, capacity, this.#clock.now()));
	}

	#execute(actions: readonly AdmissionAction[]): void {
		for (const action of actions) {
			const request = this.#arriving.get(action.requestId);
			if (action.kind === 'admit' && request !== undefined) {
				this.#admitted.set(action.requestId, request);
			}

			this.#answer(action.requestId, action.kind === 'admit' ? Right(undefined) : Left(action.refusal));
		}
	}

	#answer(requestId: string, answer: Either<Refusal, void>): void {
		const resolve = this.#waiting.get(requestId);
		this.#waiting.delete(requestId);
		this.#arriving.delete(requestId);
		resolve?.(answer);
	}
}
