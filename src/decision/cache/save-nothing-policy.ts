/** Baseline: nothing is saved; blocks that are evicted from accelerator memory are lost. */
import {type SaveAction, type SavePolicy} from './save-policy.js';

export class SaveNothingPolicy implements SavePolicy {
	prefilled(): SaveAction[] {
		return [];
	}
}
