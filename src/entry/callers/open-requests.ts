/**
 * Counts the requests that callers have open here. It answers a client that opens requests without end: each one holds
 * a body and a socket, and without a bound the process dies of memory with all other answers. The bound per workspace
 * keeps one workspace from taking all places of an instance.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type ConfigurationState} from '../../protocol/configuration/configuration-state.js';
import {type Refusal} from '../../shared/types.js';

/** In force where `open-requests` is not declared: bodies of 8 MB at most, few of them near it, in some hundred MB. */
export const defaultOpenRequests = 2000;

const comeBackMilliseconds = 1000;

export class OpenRequests {
	readonly #byWorkspace = new Map<string, number>();
	#total = 0;

	/** Requests open now. */
	get total(): number {
		return this.#total;
	}

	/**
	 * Takes a place for a request, before its body is read.
	 *
	 * @param workspace - Who calls.
	 * @param limits - The declared limits.
	 * @returns What gives the place back, to be called once; or the refusal.
	 */
	enter(workspace: string, limits: ConfigurationState['limits']): Either<Refusal, () => void> {
		const open = this.#byWorkspace.get(workspace) ?? 0;
		const limit = limits.get('open-requests')?.value ?? defaultOpenRequests;
		const workspaceLimit = limits.get('open-requests-per-workspace')?.value ?? limit;
		if (this.#total >= limit || open >= workspaceLimit) {
			const whose = open >= workspaceLimit ? 'by this workspace' : 'at this instance';
			return Left({
				reason: 'too-many-open', ran: 'not-run', message: `too many requests are open ${whose}`, retryAfterMilliseconds: comeBackMilliseconds,
			});
		}

		this.#total++;
		this.#byWorkspace.set(workspace, open + 1);
		return Right(() => {
			this.#leave(workspace);
		});
	}

	#leave(workspace: string): void {
		this.#total--;
		const open = (this.#byWorkspace.get(workspace) ?? 1) - 1;
		if (open === 0) {
			this.#byWorkspace.delete(workspace);
		} else {
			this.#byWorkspace.set(workspace, open);
		}
	}
}
