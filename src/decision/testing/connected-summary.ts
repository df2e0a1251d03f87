import {type ConnectedEngine} from './connected-engine.js';
import {type ConnectedResult} from './connected-fleet.js';

/** What callers and engines got. */
export type ConnectedSummary = {
	/** New connections per prompt. */
	newConnections: number;
	/** Share of the prompts whose first token was within their objective. */
	inTime: number;
	p99: number;
	/** Prefilled tokens per prompt. */
	readTokens: number;
	/** Share of the prompts' tokens that was cached. */
	cachedShare: number;
	/** The prompts that the busiest engine receives in a second, relative to the mean of all engines; the mean over the seconds. */
	busiest: number;
	/** The prefilled tokens of the busiest engine over the whole time, relative to the mean. */
	busiestOverall: number;
	/** The standard deviation of the tokens that the engines prefill in a second, relative to the mean; the mean over the seconds. */
	unevenness: number;
};

/** Sums up the results from a time on; before it caches and connections are few. */
export function connectedSummary(all: readonly ConnectedResult[], engines: readonly ConnectedEngine[], from: number): ConnectedSummary {
	const results = all.filter(({at}) => at >= from);
	const times = results.map(({milliseconds}) => milliseconds).toSorted((one, other) => one - other);
	const sum = (value: (result: ConnectedResult) => number): number => results.reduce((total, result) => total + value(result), 0);
	const served = results.filter(({engine}) => engine !== undefined);
	const readTokens = sum(result => result.readTokens);
	const seconds = new Set(served.map(({at}) => Math.floor(at / 1000)));
	const bySecond = [...seconds].map(second => served.filter(({at}) => Math.floor(at / 1000) === second));
	const meanOf = (figure: (second: readonly ConnectedResult[]) => number): number => bySecond.reduce((total, second) => total + figure(second), 0) / bySecond.length;
	return {
		newConnections: served.filter(({isNew}) => isNew).length / served.length,
		inTime: results.filter(({milliseconds, objectiveMilliseconds}) => milliseconds <= objectiveMilliseconds).length / results.length,
		p99: times[Math.floor(0.99 * times.length)]!,
		readTokens: readTokens / served.length,
		cachedShare: 1 - (readTokens / served.reduce((total, {promptTokens}) => total + promptTokens, 0)),
		busiest: meanOf(second => busiestRatio(loadsOf(second, engines, () => 1))),
		busiestOverall: busiestRatio(loadsOf(served, engines, result => result.readTokens)),
		unevenness: meanOf(second => variationOf(loadsOf(second, engines, result => result.readTokens))),
	};
}

function loadsOf(results: readonly ConnectedResult[], engines: readonly ConnectedEngine[], loadOf: (result: ConnectedResult) => number): number[] {
	const byEngine = new Map(engines.map(engine => [engine, 0]));
	for (const result of results) {
		byEngine.set(result.engine!, byEngine.get(result.engine!)! + loadOf(result));
	}

	return [...byEngine.values()];
}

function mean(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0) / values.length;
}

function busiestRatio(loads: readonly number[]): number {
	return Math.max(...loads) / mean(loads);
}

function variationOf(loads: readonly number[]): number {
	const usual = mean(loads);
	return Math.sqrt(mean(loads.map(load => (load - usual) ** 2))) / usual;
}
