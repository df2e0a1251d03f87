/** What the slopes bench and its worker processes say to each other. */
import {type ConfigurationChange, type ListedInstance} from '../../shared/types.js';

/** From the bench. */
export type WorkerOrder
	= | {kind: 'start'; names: string[]; dataCentre: string; reportsPerSecond: number}
		| {kind: 'list'; instances: ListedInstance[]}
		| {kind: 'change'; change: ConfigurationChange}
		| {kind: 'reset'}
		| {kind: 'measure'}
		| {kind: 'kill'; names: string[]}
		| {kind: 'state'; size: StateSize}
		| {kind: 'poll'; address: string; polls: number; path: PollPath};

/** What is polled. */
export type PollPath = 'load' | 'list' | 'table';

/** One measurement of memory and processor time for state of a given size. */
export type StateSize = {of: 'servers' | 'prompts' | 'workspaces'; count: number};

/** What a worker counted since the last reset, over all of its daemons. */
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
	/** For each version, when the last daemon of this worker had it in force. */
	inForceAt: Array<{version: number; at: number; daemons: number}>;
};

/** To the bench. */
export type WorkerAnswer
	= | {kind: 'started'; instances: ListedInstance[]}
		| {kind: 'done'}
		| {kind: 'measured'; measure: WorkerMeasure}
		| {kind: 'state'; heldBytes: number; processorMicroseconds: number}
		| {kind: 'polled'; processorMicroseconds: number};
