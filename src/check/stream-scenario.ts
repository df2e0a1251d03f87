/**
 * One prompt whose endpoints cut the stream, become unresponsive, skip tokens, or send events while a newer attempt is in
 * flight. The text that the caller received must always be a prefix of the answer, and may be reported as complete only
 * if it is the complete answer.
 */
import {type EngineEvent} from '../ports/model-engine.js';
import {
	beginAttempt, emptyAnswer, type RelayAction, relayEvent, type RelayState,
} from '../protocol/stream/stream-relay.js';
import {type Scenario} from './scenario.js';
import {type FaultSimulation} from './simulation.js';

const maxAttempts = 4;
const unresponsiveMilliseconds = 2000;

export class StreamScenario implements Scenario {
	readonly name = 'stream';
	#relay: RelayState = emptyAnswer;
	#text = '';
	#tokens = 0;
	#isReportedComplete = false;

	start(simulation: FaultSimulation): void {
		this.#tokens = simulation.choices.between(1, 30);
		this.#attempt(simulation);
	}

	verify(simulation: FaultSimulation): void {
		const whole = textOf(0, this.#tokens);
		if (!whole.startsWith(this.#text)) {
			simulation.reportViolation('the caller got text that is not a prefix of its answer');
		}

		if (this.#isReportedComplete && this.#text !== whole) {
			simulation.reportViolation('an incomplete answer was reported as complete');
		}
	}

	#attempt(simulation: FaultSimulation): void {
		const {choices} = simulation;
		if (this.#relay.attempt >= maxAttempts || this.#relay.isComplete) {
			return;
		}

		this.#relay = beginAttempt(this.#relay);
		const {attempt, tokensPassedOn} = this.#relay;
		const endsAt = choices.chance(50) ? choices.between(tokensPassedOn, this.#tokens) : this.#tokens;
		const isBroken = choices.chance(40);
		// An endpoint that does not support resuming starts again at token 0.
		const from = choices.chance(10) ? 0 : tokensPassedOn;
		let at = 0;
		for (let index = from; index < endsAt; index++) {
			at += choices.between(1, 20) + (choices.chance(3) ? choices.between(1, 10_000) : 0);
			if (!choices.chance(2)) {
				this.#scheduleEvent(simulation, {attempt, at}, {
					kind: 'tokens', firstIndex: index, count: 1, text: textOf(index, index + 1),
				});
			}
		}

		if (endsAt === this.#tokens && !isBroken) {
			this.#scheduleEvent(simulation, {attempt, at: at + 1}, {
				kind: 'finished', finishReason: 'stop', promptTokens: 1, cachedTokens: 0, completionTokens: this.#tokens,
			});
		}

		const cancelledAfter = isBroken || choices.chance(30) ? choices.between(1, at + 2) : at + unresponsiveMilliseconds;
		simulation.schedule(cancelledAfter, () => {
			if (attempt === this.#relay.attempt) {
				simulation.log(`attempt ${attempt} is cancelled`);
				this.#attempt(simulation);
			}
		});
	}

	#handleAction(simulation: FaultSimulation, action: RelayAction): void {
		if (action.kind === 'pass-on') {
			this.#text += action.text;
		} else {
			this.#isReportedComplete ||= action.kind === 'whole';
		}

		if (action.kind === 'restart') {
			this.#attempt(simulation);
		}
	}

	#scheduleEvent(simulation: FaultSimulation, {attempt, at}: {attempt: number; at: number}, event: EngineEvent): void {
		simulation.schedule(at, () => {
			const {state, action} = relayEvent(this.#relay, attempt, event);
			this.#relay = state;
			simulation.log(`attempt ${attempt}: ${event.kind === 'tokens' ? `token ${event.firstIndex}` : event.kind} -> ${action.kind}`);
			this.#handleAction(simulation, action);
		});
	}
}

function textOf(from: number, to: number): string {
	return Array.from({length: to - from}, (_, index) => `${from + index} `).join('');
}
