/** What the check of slow readers is asked, and what it reports. */

export type SlowReadersOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	/** The memory limit of the instance; 0 without one. */
	limitMegabytes: number;
	/** Callers that never read an answer of 3 KB. */
	smallReaders: number;
	/** Callers that never read an answer of 5 MB; as many again read a piece at a time. */
	largeReaders: number;
	/** Callers whose bodies of up to 72 KB arrive in small pieces. */
	slowSenders: number;
	milliseconds: number;
};

export type SlowReadersReport = Omit<SlowReadersOptions, 'network'> & {
	/** Resident memory of the instance in megabytes: before the load, and the highest. */
	memoryAtStart: number;
	peakMemory: number;
	/** Instances that ended, or exceeded the limit so that the platform would have killed them. */
	ended: number;
	/** Requests of callers that read and send at once, beside the slow ones. */
	sent: number;
	served: number;
	/** Those with a body that were refused twice, as not run. */
	refused: number;
	failures: Record<string, number>;
	milliseconds50: number;
	milliseconds95: number;
	/** Slow bodies that were sent whole, and what became of them by status. */
	slowBodies: Record<string, number>;
	/** Answers that the instance has ended, and slow bodies that it has refused. */
	answersEnded: number;
	bodiesRefused: number;
	/** The largest number of bytes that a log line of these reports. */
	heldBytes: number;
};
