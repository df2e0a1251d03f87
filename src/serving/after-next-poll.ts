/**
 * Resolves after the event loop has polled all sockets once more, so that a close that follows a request on the same socket
 * has been read. The first immediate runs after the current poll, the second after the next one.
 */
export async function afterNextPoll(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(() => {
			setImmediate(resolve);
		});
	});
}
