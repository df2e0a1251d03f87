/** Reads the system's steady clock and its wall clock together. */
import {performance} from 'node:perf_hooks';
import {type MomentClock} from '../ports/moment-clock.js';
import {systemClock} from './system-clock.js';

export const systemMomentClock: MomentClock = {
	moment: () => ({steady: performance.now(), wall: Date.now()}),
	sleep: systemClock.sleep,
};
