/** Where the row of the duty to bring engines to their weights lies: its holder writes it, and every instance reads it. */

export const dutyTable = 'duties';
export const weightsDuty = 'weights';
