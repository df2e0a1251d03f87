/** What each workspace has used of a lane over the last seconds: tokens of prompts, or calls. */

/** Time over which use is forgotten: about as long as a burst, so that a workspace pays for the burst it causes. */
const decayMilliseconds = 5000;
/** More than the workspaces that call one instance within the decay; the one that was admitted longest ago is dropped first. */
const maxWorkspaces = 2000;

type Use = {work: number; at: number};

export class WorkspaceUse {
	readonly #uses = new Map<string, Use>();

	/** Records work that was admitted for a workspace. */
	add(lane: string, workspace: string, work: number, now: number): void {
		const key = keyOf(lane, workspace);
		const total = this.of(lane, workspace, now) + work;
		this.#uses.delete(key);
		this.#uses.set(key, {work: total, at: now});
		if (this.#uses.size > maxWorkspaces) {
			this.#uses.delete(this.#uses.keys().next().value!);
		}
	}

	/** Returns the work of a workspace, in which older work counts less. */
	of(lane: string, workspace: string, now: number): number {
		const use = this.#uses.get(keyOf(lane, workspace));
		return use === undefined ? 0 : use.work * Math.exp((use.at - now) / decayMilliseconds);
	}
}

function keyOf(lane: string, workspace: string): string {
	return `${lane}\n${workspace}`;
}
