/** Baseline: nothing is saved; blocks that are evicted from accelerator memory are lost. */
import {type KeepingAction, type KeepingPolicy} from './keeping-policy.js';

export class NoKeeping implements KeepingPolicy {
	prefilled(): KeepingAction[] {
		return [];
	}
}
