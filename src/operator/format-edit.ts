import {type ConfigurationEdit} from '../shared/types.js';

/**
 * Writes an edit as one line.
 *
 * @param edit - The edit.
 * @returns For example `set service permit-model`.
 */
export function formatEdit(edit: ConfigurationEdit): string {
	return edit.action === 'set' ? `set ${edit.kind} ${edit.item.name}` : `remove ${edit.kind} ${edit.name}`;
}
