import {type StreamOrigin} from '../streams/stream-origin.js';
import {type OriginAnswer, type StreamOrigins} from '../streams/stream-origins.js';

/** Origins of streams within one process, without a limit on their time. */
export class LocalStreamOrigins implements StreamOrigins {
	readonly #origins = new Map<string, StreamOrigin>();

	record(key: string, origin: StreamOrigin): void {
		this.#origins.set(key, origin);
	}

	async findOrigin(key: string): Promise<OriginAnswer> {
		const origin = this.#origins.get(key);
		return origin === undefined ? {kind: 'unknown'} : {kind: 'known', origin};
	}
}
