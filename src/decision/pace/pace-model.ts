/**
 * Learns how the pace of the endpoints of one service changes, and estimates the pace of an endpoint from its last figure.
 *
 * Machines that are shared with other work are slow for some hundred milliseconds at a time. A figure that is older than
 * such a stretch says nothing about the present. So the estimate moves from the last figure to the mean of the service
 * with the age of the figure, exponentially, and the time constant of that is learned: for each pair of consecutive
 * figures of one endpoint, the later figure is compared with what each of several time constants predicts for it, and the
 * one with the least squared error is used. One of them is zero, which predicts the mean whatever the figure: where
 * figures predict nothing, they are not used.
 */

/** The pace that an endpoint reported: 2 means that work takes twice as long as usual. */
export type PaceFigure = {
	factor: number;
	/** When it was reported, in milliseconds of the steady clock. */
	at: number;
};

/** Bounds of all factors: an endpoint that reports a false pace is neither avoided altogether nor given all requests. */
export const minPaceFactor = 0.5;
export const maxPaceFactor = 10;

/**
 * Time constants in milliseconds, from longest to shortest; each is half of the one before, so that their predictions are
 * squares of each other. They cover stretches from 100 ms to more than 10 s.
 */
const timeConstants = Array.from({length: 10}, (_, index) => 12_800 / (2 ** index));
/** Used before anything was learned: 400 ms, below the usual length of a stretch, so that old figures count for little. */
const initialIndex = 5;
/** Error that each step from the initial time constant starts with; a few dozen pairs outweigh it. */
const initialErrorStep = 0.05;
/** Each pair multiplies the weight of all older ones by this; about 1000 pairs count. */
const errorDecay = 0.999;
/** Deviations from the mean count up to this for the time constants; otherwise one endpoint with a false pace decides. */
const maxDeviation = 2;
/** Share of the mean that a figure replaces if it is independent of the figure before it. */
const meanShare = 0.002;
/** The mean starts at 1 with the weight of so many figures. */
const initialFigures = 8;
/** Largest step of the median for one figure: it follows a change of the whole service within a few hundred figures. */
const medianStep = 0.01;
/** Time after which a figure counts as independent of the one before it: many figures of one slow stretch count as one. */
const independentMilliseconds = 1000;
/** A figure is young enough to matter for so many time constants; a twentieth of its deviation is left then. */
const lifetimeConstants = 3;

export class PaceModel {
	#mean = 1;
	#weight = initialFigures;
	#median = 1;
	/** Squared errors by time constant; the last entry is that of predicting the mean. */
	readonly #errors = Array.from({length: timeConstants.length + 1}, (_, index) => initialErrorStep * Math.abs(index - initialIndex));
	#timeConstant = timeConstants[initialIndex]!;

	/** The mean factor of the service. */
	get mean(): number {
		return this.#mean;
	}

	/** The factor that half of the figures exceed. */
	get median(): number {
		return this.#median;
	}

	/** How long a figure is young enough to matter, in milliseconds. */
	get lifetimeMilliseconds(): number {
		return lifetimeConstants * this.#timeConstant;
	}

	/**
	 * Learns from a figure.
	 *
	 * @param former - The figure before it of the same endpoint, if there is one.
	 */
	observe(former: PaceFigure | undefined, figure: PaceFigure): void {
		if (former !== undefined) {
			this.#compare(former, figure);
		}

		const weight = former === undefined ? 1 : Math.min(1, (figure.at - former.at) / independentMilliseconds);
		this.#weight = Math.min(1 / meanShare, this.#weight + weight);
		this.#mean += weight * (figure.factor - this.#mean) / this.#weight;
		const distance = figure.factor - this.#median;
		this.#median += Math.sign(distance) * Math.min(Math.abs(distance), weight * medianStep);
	}

	/**
	 * The mean factor of an endpoint that is expected over a time.
	 *
	 * @param figure - Its last figure; `undefined` if it has reported none.
	 * @param from - Start of the time, in milliseconds of the steady clock. Before the figure, the figure counts in full.
	 * @param until - Its end.
	 * @param otherwise - The factor that is expected as far as nothing follows from the figure.
	 */
	factorOver(figure: PaceFigure | undefined, from: number, until: number, otherwise = this.#mean): number {
		if (figure === undefined || this.#timeConstant === 0) {
			return otherwise;
		}

		const atStart = Math.exp(-Math.max(0, from - figure.at) / this.#timeConstant);
		const duration = Math.max(0, until - from) / this.#timeConstant;
		const share = duration < 0.01 ? atStart : atStart * (1 - Math.exp(-duration)) / duration;
		return Math.min(maxPaceFactor, Math.max(minPaceFactor, otherwise + (share * (figure.factor - otherwise))));
	}

	#compare(former: PaceFigure, figure: PaceFigure): void {
		const before = this.#deviationOf(former);
		const after = this.#deviationOf(figure);
		let correlation = Math.exp(-(figure.at - former.at) / timeConstants[0]!);
		let least = 0;
		for (let index = 0; index < this.#errors.length; index++) {
			const predicted = index < timeConstants.length ? correlation * before : 0;
			this.#errors[index] = (errorDecay * this.#errors[index]!) + ((after - predicted) ** 2);
			least = this.#errors[index]! < this.#errors[least]! ? index : least;
			correlation *= correlation;
		}

		this.#timeConstant = timeConstants[least] ?? 0;
	}

	#deviationOf({factor}: PaceFigure): number {
		return Math.min(maxDeviation, Math.max(-maxDeviation, factor - this.#mean));
	}
}

/** Returns the factor of a reported percentage, within the bounds. */
export function paceFactorOf(percent: number): number {
	return Math.min(maxPaceFactor, Math.max(minPaceFactor, percent / 100));
}
