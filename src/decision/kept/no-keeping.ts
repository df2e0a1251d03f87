/** A baseline: nothing is saved; what falls out of accelerator memory is gone. */
import {type KeepingAction, type KeepingPolicy} from './keeping-policy.js';

export class NoKeeping implements KeepingPolicy {
	prefilled(): KeepingAction[] {
		return [];
	}
}
