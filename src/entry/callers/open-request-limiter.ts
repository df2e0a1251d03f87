/**
 * Limits the number of requests that callers have open at this instance. Each open request holds a body and a socket, so
 * without a limit a client that keeps opening requests exhausts the memory of the process, and all other answers are lost
 * with it. The limit for each workspace prevents one workspace from using up the limit of the instance.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type ConfigurationState} from '../../protocol/configuration/configuration-state.js';
import {type Refusal} from '../../shared/types.js';

/** Applies where `open-requests` is not declared. Bodies have up to 8 MB, but few are near that: a few hundred MB in total. */
export const defaultOpenRequests = 2000;

const retryDelayMilliseconds = 1000;

export class OpenRequestLimiter {
	readonly #byWorkspace = new Map<string, number>();
	#total = 0;

	/** Number of requests open now. */
	get total(): number {
		return this.#total;
	}

	/**
	 * Counts a request as open, before its body is read.
	 *
	 * @param workspace - The caller's workspace.
	 * @param limits - The declared limits.
	 * @returns A function that ends the count, to be called once; or the refusal.
	 */
	acquire(workspace: string, limits: ConfigurationState['limits']): Either<Refusal, () => void> {
		const open = this.#byWorkspace.get(workspace) ?? 0;
		const limit = limits.get('open-requests')?.value ?? defaultOpenRequests;
		const workspaceLimit = limits.get('open-requests-per-workspace')?.value ?? limit;
		if (this.#total >= limit || open >= workspaceLimit) {
			const whose = open >= workspaceLimit ? 'by this workspace' : 'at this instance';
			return Left({
				reason: 'too-many-open', ran: 'not-run', message: `too many requests are open ${whose}`, retryAfterMilliseconds: retryDelayMilliseconds,
			});
		}

		this.#total++;
		this.#byWorkspace.set(workspace, open + 1);
		return Right(() => {
			this.#release(workspace);
		});
	}

	#release(workspace: string): void {
		this.#total--;
		const open = (this.#byWorkspace.get(workspace) ?? 1) - 1;
		if (open === 0) {
			this.#byWorkspace.delete(workspace);
		} else {
			this.#byWorkspace.set(workspace, open);
		}
	}
}
