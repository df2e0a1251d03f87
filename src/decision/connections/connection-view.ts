/** What placement may know of this instance's connections to endpoints. Opening and closing them is not its task. */

/** The idle connections of this instance. Times are milliseconds of the steady clock. */
export interface ConnectionView {
	/** Whether a request that is sent to an address (`IP:port`) now would use an idle connection. */
	hasIdle(address: string, now: number): boolean;
	/** How long a connection to an address is kept idle, in milliseconds, as of its last response; `undefined` before the first one. */
	keptMilliseconds(address: string): number | undefined;
}
