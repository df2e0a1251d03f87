/** Messages between the slopes benchmark and its worker processes. */
import {type ConfigurationChange, type ListedInstance} from '../../shared/types.js';

/** Commands from the benchmark to a worker. */
export type WorkerCommand
	= | {kind: 'start'; names: string[]; dataCentre: string; reportsPerSecond: number}
		| {kind: 'list'; instances: ListedInstance[]}
		| {kind: 'change'; change: ConfigurationChange}
		| {kind: 'reset'}
		| {kind: 'measure'}
		| {kind: 'kill'; names: string[]}
		| {kind: 'state'; size: StateSize}
		| {kind: 'poll'; address: string; polls: number; path: PollPath};

/** The resource that is polled. */
export type PollPath = 'load' | 'list' | 'table';

/** Kind and size of a state whose memory and processor time are measured. */
export type StateSize = {of: 'servers' | 'prompts' | 'workspaces'; count: number};

/** Measurements of a worker since the last reset, over all of its daemons. */
export type WorkerMeasure = {
	daemons: number;
	wallMilliseconds: number;
	processorMilliseconds: number;
	heldBytes: number;
	bytesIn: number;
	bytesOut: number;
	messagesIn: number;
	messagesOut: number;
	dropped: number;
	readers: number;
	ownedEndpoints: number;
	knownEndpoints: number;
	live: number[];
	/** For each version, when it came into force in the last daemon of this worker, and in how many daemons. */
	inForceAt: Array<{version: number; at: number; daemons: number}>;
};

/** Responses from a worker to the benchmark. */
export type WorkerResponse
	= | {kind: 'started'; instances: ListedInstance[]}
		| {kind: 'done'}
		| {kind: 'measured'; measure: WorkerMeasure}
		| {kind: 'state'; heldBytes: number; processorMicroseconds: number}
		| {kind: 'polled'; processorMicroseconds: number};
