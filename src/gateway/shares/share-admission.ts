/** The admission of one plain call by its workspace's share. */
import {shareRetryDelay} from '../../decision/shares/share-retry-delay.js';
import {type ShareRefusal, type SharedCall} from '../../decision/shares/crowded-services.js';
import {type ShareReason} from '../../decision/shares/service-demand.js';
import {type Refusal} from '../../shared/types.js';
import {type GatewayContext} from '../gateway-context.js';
import {type RoomSearchInputs} from '../waiting/room-search-inputs.js';
import {type WorkspaceShares} from './workspace-shares.js';

const messageOf: Record<ShareReason, string> = {
	share: 'the workspace requests more than its share of the service, which is congested',
	ceiling: 'the workspace requests more than its ceiling',
	rank: 'the service is congested, and more urgent requests go before this one',
};

export class ShareAdmission {
	readonly #log: GatewayContext['log'];
	readonly #clock: GatewayContext['clock'];
	readonly #shares: WorkspaceShares;
	readonly #inputs: Pick<RoomSearchInputs, 'work' | 'deadline'>;
	readonly #call: SharedCall;
	#hasArrived = false;
	#refusal: Refusal | undefined;

	constructor({log, clock}: Pick<GatewayContext, 'log' | 'clock'>, shares: WorkspaceShares, inputs: Pick<RoomSearchInputs, 'work' | 'deadline'>) {
		this.#log = log;
		this.#clock = clock;
		this.#shares = shares;
		this.#inputs = inputs;
		const {head: {attemptId}, permitted: {service, rank, grant}} = inputs.work;
		this.#call = {
			attemptId, service, rank, workspace: grant?.name ?? '',
		};
	}

	/** Returns the refusal of a call beyond its workspace's share; `undefined` if it is accepted. It is decided once, not for each attempt. */
	refusal(): Refusal | undefined {
		if (!this.#hasArrived) {
			this.#hasArrived = true;
			const refusal = this.#shares.arrive(this.#call);
			this.#refusal = refusal && this.#refuse(refusal);
		}

		return this.#refusal;
	}

	/** Whether others are refused in favour of this call. */
	get isAssured(): boolean {
		return this.#shares.isCongested(this.#call.service);
	}

	/** Counts an attempt that its endpoint accepted and that has ended. */
	noteEnded(sentAt: number): void {
		this.#shares.noteEnded(this.#call, Math.max(0, this.#now() - sentAt));
	}

	/** Writes one line for each refusal, which names what it rests on and whom the call was refused for. */
	#refuse({reason, fraction, ageMilliseconds, crowded}: ShareRefusal): Refusal {
		const {service, rank, workspace, attemptId} = this.#call;
		const {work: {head, arrivedAt}, deadline} = this.#inputs;
		const {requestedPerSecond, capacityPerSecond, largestUse} = crowded;
		const now = this.#now();
		const callerDeadline = head.deadlineMilliseconds === undefined ? deadline : arrivedAt.steady + head.deadlineMilliseconds;
		const retryAfterMilliseconds = shareRetryDelay({...crowded, fraction, remainingMilliseconds: callerDeadline - now}, attemptId);
		this.#log.record('request-over-share', {
			id: attemptId,
			service,
			rank,
			workspace,
			reason,
			fraction,
			inputsAgeMilliseconds: Math.round(ageMilliseconds),
			requestedPerSecond,
			capacityPerSecond,
			largestUse,
			leftMilliseconds: Math.round(deadline - now),
			retryAfterMilliseconds,
			milliseconds: Math.round(now - arrivedAt.steady),
		});
		return {
			reason: 'overloaded', ran: 'not-run', message: messageOf[reason], retryAfterMilliseconds,
		};
	}

	#now(): number {
		return this.#clock.moment().steady;
	}
}
