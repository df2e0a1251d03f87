/**
 * Checks over real gateway processes that a stream goes on only at the software version that began it, within one answer and
 * over its caller's tries, and that most streams which are taken up again go on.
 *
 * Endpoints of two versions serve side by side, or come back one by one at the new version. Endpoints break streams off;
 * instances are killed and started again; data centres are cut off from the store; endpoints crash and come back, also under the
 * name that they had, at another version before their row says so.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, startDesk} from './desk-deployment.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {deploymentWireNames as names, type GatewayDeployment} from './gateway-deployment.js';
import {
	type CallerStream, eventText, ResumingCallers, type ReturnPlace, streamPlanOf,
} from './resuming-callers.js';

const drawnSpreads = ['halves', 'one-of-six', 'one-by-one'] as const;
export const versionSpreads = [...drawnSpreads, 'while-killed', 'half-joins', 'all-join'] as const;
/**
 * Which endpoints have the new version; `one-by-one`: they leave one after the other and come back at it; `while-killed`: all leave
 * while no instance runs, and come back at the version that they had not; `half-joins`, `all-join`: half or all of them are replaced at
 * once by endpoints of the new version, the first that any instance sees, while the disturbance begins.
 */
export type VersionSpread = typeof versionSpreads[number];

const drawnDisturbances = ['none', 'instances-killed', 'store-away-for-one', 'store-away-for-all', 'coordinator-killed', 'endpoints-renamed', 'names-reused'] as const;
export const versionDisturbances = [...drawnDisturbances, 'all-killed', 'one-frozen', 'one-frozen-briefly'] as const;
/**
 * What happens beside the streams that endpoints break off; `names-reused`: endpoints crash and come back at the other version;
 * `all-killed`: all instances are killed at the same moment and started again; `one-frozen`: one instance of each data centre stands
 * still, for seconds or `briefly`, so that its list of endpoints is still recent.
 */
export type VersionDisturbance = typeof versionDisturbances[number];

export type StreamVersionsConditions = {
	spread: VersionSpread;
	disturbance: VersionDisturbance;
	/** Share of the streams that their endpoint breaks off. */
	breakPercent: number;
	streamsPerSecond: number;
	returnsTo: ReturnPlace;
	/** The whole time of a caller, over all of its tries. */
	callerMilliseconds: number;
};

export type StreamVersionsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
	/** Conditions that are not drawn from the seed. */
	conditions?: Partial<StreamVersionsConditions>;
};

export type StreamVersionsReport = {
	seed: number;
	conditions: StreamVersionsConditions;
	streams: number;
	/** Streams of which the caller got an event. */
	begun: number;
	whole: number;
	/** Streams that their caller took up again after an event, and those of them of which it got a further event. */
	takenUp: number;
	wentOn: number;
	/** The same, counted by tries. */
	resumingTries: number;
	servedTries: number;
	/** Streams with events of two versions, and those of them where one answer has both. */
	mixed: number;
	mixedWithinAnswer: number;
	/** Streams with an event missing or twice, or that ended as complete before the last one. */
	misnumbered: number;
	/** Tries that take a stream up and brought no event, by status and code. */
	refusals: Record<string, number>;
};

/** Streams with events of two versions that a run may have. */
export const allowedMixed = 2;
/** From so many streams taken up again on, their share that goes on is judged against the share of new streams that begin. */
const judgedFrom = 12;
const minRelativeShare = 0.5;
const versions = ['v1', 'v2'] as const;
const eventMilliseconds = 30;
const disturbanceStartMilliseconds = 2000;
/** Before the end nothing is disturbed, so that streams can go on. */
const quietMilliseconds = 2000;
const frozenMilliseconds = {'one-frozen': [1500, 3500], 'one-frozen-briefly': [300, 900]} as const;
const storeCutMilliseconds = {'store-away-for-one': 7000, 'store-away-for-all': 6000} as const;
const drainMilliseconds = 1000;
const replacedMilliseconds = 100;
const betweenLeavesMilliseconds = 1200;
const betweenKillsMilliseconds = 900;
const betweenKillsOfAllMilliseconds = 6600;
const defaultCallerMilliseconds = 6000;
const betweenCoordinatorKillsMilliseconds = 4000;

export async function runStreamVersions(options: StreamVersionsOptions): Promise<StreamVersionsReport> {
	const run = new StreamVersionsRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

/** What a report shows that must not be; empty if nothing. */
export function violationsOf({conditions, mixed, misnumbered, streams, begun, takenUp, wentOn}: StreamVersionsReport): string[] {
	// Streams that began before all endpoints were replaced have nowhere to go on.
	const hasSameVersion = conditions.spread !== 'while-killed';
	const isTooRare = hasSameVersion && takenUp >= judgedFrom && wentOn / takenUp < minRelativeShare * begun / streams;
	return [
		...(mixed > allowedMixed ? [`${mixed} streams with events of two versions`] : []),
		...(misnumbered > 0 ? [`${misnumbered} streams with an event missing or twice`] : []),
		...(isTooRare ? [`${wentOn} of ${takenUp} streams that were taken up again went on`] : []),
	];
}

class StreamVersionsRun implements EndpointScript {
	readonly #options: StreamVersionsOptions;
	readonly #choices: Choices;
	readonly #conditions: StreamVersionsConditions;
	readonly #deployment: GatewayDeployment;
	/** How often each stream was broken off. */
	readonly #breaks = new Map<string, number>();
	#endpoints: DeploymentEndpoint[] = [];
	#quietAt = 0;

	constructor(options: StreamVersionsOptions) {
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`stream versions ${options.seed}`));
		this.#conditions = {...drawConditions(this.#choices), ...options.conditions};
		this.#deployment = deskDeployment(options.network);
	}

	async start(): Promise<void> {
		const {spread} = this.#conditions;
		const newFrom = {
			halves: 3, 'one-of-six': 5, 'one-by-one': 6, 'while-killed': 6, 'half-joins': 6, 'all-join': 6,
		}[spread];
		// Every data centre has an endpoint of each version where half of them have the new one.
		const versionOf = (index: number): string => versions[spread === 'halves' ? index % 2 : Number(index >= newFrom)]!;
		this.#endpoints = await startDesk(this.#deployment, this, {versionOf});
	}

	async play(): Promise<StreamVersionsReport> {
		const endsAt = performance.now() + this.#options.milliseconds;
		this.#quietAt = endsAt - quietMilliseconds;
		const callers = new ResumingCallers(this.#deployment, this.#choices, this.#conditions);
		await Promise.all([callers.sendUntil(endsAt), this.#replaceVersions(), this.#disturb()]);
		return {seed: this.#options.seed, conditions: this.#conditions, ...judge(callers.streams)};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	arrived(): void {
		// Only what callers get is judged.
	}

	headers(): Record<string, string> {
		return {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		const {version} = endpoint;
		const {length, breaks} = streamPlanOf(arrival.body);
		const first = 1 + Number(response.req.headers[names.lastEventId] ?? 0);
		const isBroken = (this.#breaks.get(arrival.body) ?? 0) < breaks;
		const brokenAt = isBroken ? this.#choices.between(Math.min(length, first + 1), length) : length + 1;
		await delay(this.#choices.between(5, 60));
		endpoint.begin(response, arrival);
		for (let id = first; id <= length && !response.destroyed; id++) {
			if (id === brokenAt) {
				this.#breaks.set(arrival.body, (this.#breaks.get(arrival.body) ?? 0) + 1);
				response.write(`id: ${id}\nda`, () => {
					response.destroy();
				});
				return;
			}

			response.write(eventText(id, version));
			await delay(eventMilliseconds);
		}

		response.end();
	}

	async #replaceVersions(): Promise<void> {
		const {spread} = this.#conditions;
		if (spread === 'half-joins' || spread === 'all-join') {
			await delay(disturbanceStartMilliseconds + this.#choices.between(0, 300));
			await Promise.all(this.#endpoints.filter((_, index) => spread === 'all-join' || index % 2 === 0).map(async endpoint => this.#replace(endpoint)));
			return;
		}

		if (spread !== 'one-by-one') {
			return;
		}

		await delay(disturbanceStartMilliseconds);
		const leaving: Array<Promise<void>> = [];
		for (const endpoint of this.#endpoints) {
			endpoint.nextVersion = versions[1];
			leaving.push(endpoint.leave(drainMilliseconds, this.#choices.between(200, 600)));
			await delay(betweenLeavesMilliseconds);
		}

		await Promise.all(leaving);
	}

	async #replace(endpoint: DeploymentEndpoint): Promise<void> {
		endpoint.nextVersion = otherVersion(endpoint.version);
		await endpoint.leave(0, replacedMilliseconds);
	}

	async #disturb(): Promise<void> {
		await delay(disturbanceStartMilliseconds);
		const {disturbance} = this.#conditions;
		switch (disturbance) {
			case 'none': {
				return;
			}

			case 'instances-killed': {
				return this.#repeat(betweenKillsMilliseconds, async () => this.#deployment.restart(this.#choices.oneOf(this.#deployment.instances)));
			}

			case 'all-killed': {
				return this.#repeat(betweenKillsOfAllMilliseconds, async () => {
					const restarts = this.#deployment.instances.map(async instance => this.#deployment.restart(instance));
					await Promise.all([...restarts, ...(this.#conditions.spread === 'while-killed' ? this.#endpoints.map(async endpoint => this.#replace(endpoint)) : [])]);
				});
			}

			case 'one-frozen':
			case 'one-frozen-briefly': {
				const [shortest, longest] = frozenMilliseconds[disturbance];
				const {dataCentres, instances} = this.#deployment;
				await Promise.all(dataCentres.map(async name => {
					const instance = this.#choices.oneOf(instances.filter(({dataCentre}) => dataCentre === name));
					await this.#deployment.freeze(instance, this.#choices.between(shortest, longest));
				}));
				return;
			}

			case 'store-away-for-one':
			case 'store-away-for-all': {
				const {dataCentres} = this.#deployment;
				const cut = disturbance === 'store-away-for-one' ? dataCentres.slice(0, 1) : dataCentres;
				await Promise.all(cut.map(async dataCentre => this.#deployment.cutStore(dataCentre, storeCutMilliseconds[disturbance])));
				return;
			}

			case 'coordinator-killed': {
				return this.#repeat(betweenCoordinatorKillsMilliseconds, async () => {
					const coordinator = this.#deployment.coordinator();
					await (coordinator === undefined ? undefined : this.#deployment.restart(coordinator));
				});
			}

			case 'endpoints-renamed': {
				return this.#repeat(betweenKillsMilliseconds, async () => this.#choices.oneOf(this.#endpoints).crash(this.#choices.between(300, 900)));
			}

			case 'names-reused': {
				return this.#repeat(betweenKillsMilliseconds, async () => {
					const endpoint = this.#choices.oneOf(this.#endpoints);
					if (endpoint.isUp) {
						endpoint.nextVersion = otherVersion(endpoint.version);
						await endpoint.crash(this.#choices.between(200, 500), {keepsName: true, rowDelayMilliseconds: this.#choices.between(300, 800)});
					}
				});
			}
		}
	}

	async #repeat(pauseMilliseconds: number, step: () => Promise<void>): Promise<void> {
		const running: Array<Promise<void>> = [];
		while (performance.now() < this.#quietAt) {
			running.push(step());
			await delay(pauseMilliseconds);
		}

		await Promise.all(running);
	}
}

function judge(streams: readonly CallerStream[]): Omit<StreamVersionsReport, 'seed' | 'conditions'> {
	const resuming = streams.flatMap(({tries}) => tries.filter(({after}) => after > 0));
	const takenUp = streams.filter(({tries}) => tries.some(({after}) => after > 0));
	const refusals: Record<string, number> = {};
	for (const {status, code} of resuming.filter(({events}) => events === 0)) {
		const reason = `${status} ${code ?? ''}`.trim();
		refusals[reason] = (refusals[reason] ?? 0) + 1;
	}

	return {
		streams: streams.length,
		begun: streams.filter(({ids}) => ids.length > 0).length,
		whole: streams.filter(({isWhole}) => isWhole).length,
		takenUp: takenUp.length,
		wentOn: takenUp.filter(({tries}) => tries.some(({after, events}) => after > 0 && events > 0)).length,
		resumingTries: resuming.length,
		servedTries: resuming.filter(({events}) => events > 0).length,
		mixed: streams.filter(({tries}) => new Set(tries.flatMap(({versions: made}) => made)).size > 1).length,
		mixedWithinAnswer: streams.filter(({tries}) => tries.some(({versions: made}) => made.length > 1)).length,
		misnumbered: streams.filter(({ids, length, isWhole}) => ids.some((id, index) => id !== index + 1) || (isWhole && ids.length < length)).length,
		refusals,
	};
}

function otherVersion(version: string): string {
	return versions[version === versions[0] ? 1 : 0];
}

function drawConditions(choices: Choices): StreamVersionsConditions {
	return {
		spread: choices.oneOf(drawnSpreads),
		disturbance: choices.oneOf(drawnDisturbances),
		breakPercent: choices.oneOf([50, 50, 15]),
		streamsPerSecond: 24,
		returnsTo: 'anywhere',
		callerMilliseconds: defaultCallerMilliseconds,
	};
}
