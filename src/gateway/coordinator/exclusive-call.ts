/** Runs one call at a time, and none beside it: a call that takes long must not be overtaken by the next one. */
export class ExclusiveCall {
	readonly #onError: (error: unknown) => void;
	#isRunning = false;

	constructor(onError: (error: unknown) => void) {
		this.#onError = onError;
	}

	/** Makes the call unless another one is in flight; never rejects. */
	async run(call: () => Promise<void>): Promise<void> {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			await call();
		} catch (error) {
			this.#onError(error);
		} finally {
			this.#isRunning = false;
		}
	}
}
