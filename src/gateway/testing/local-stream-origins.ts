import {type StreamOrigin} from '../streams/stream-origin.js';
import {type OriginAnswer, type StreamOrigins} from '../streams/stream-origins.js';

/** Origins of streams within one process, without a limit on their time. */
export class LocalStreamOrigins implements StreamOrigins {
	readonly records = new Map<string, {origin: StreamOrigin; lifetimeMilliseconds: number}>();
	/** The answer about streams that are not recorded. */
	otherwise: OriginAnswer = {kind: 'unknown'};

	record(key: string, origin: StreamOrigin, lifetimeMilliseconds: number): void {
		this.records.set(key, {origin, lifetimeMilliseconds});
	}

	async findOrigin(key: string): Promise<OriginAnswer> {
		const record = this.records.get(key);
		return record === undefined ? this.otherwise : {kind: 'known', origin: record.origin};
	}
}
