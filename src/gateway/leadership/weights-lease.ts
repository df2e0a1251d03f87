/** Where the row of the lease on the rollout of weights is: its holder writes it, and every instance reads it. */

export const weightsLeaseTable = 'duties';
export const weightsLeaseKey = 'weights';
