/** Plans the effect of a command statement, without carrying it out. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type ConfigurationState} from '../protocol/configuration/configuration-state.js';
import {type ConfigurationEdit, type ServiceItem} from '../shared/types.js';
import {type ActStatement, type LanguageError, type TargetName} from './statement.js';

/** The effect of a command: a change of the configuration, or the cancellation of one request at the instance that serves it. */
export type ActPlan
	= | {kind: 'change'; plannedAgainst: number; edits: ConfigurationEdit[]}
		| {kind: 'cancel'; requestId: string};

/** The state that a command is planned against. */
export type ActKnowledge = {
	state: ConfigurationState;
	/** Names of all endpoints on the platform's list. */
	endpoints: readonly string[];
};

/**
 * Plans a command.
 *
 * @param statement - The statement.
 * @param known - The newest configuration and the endpoints.
 * @returns The plan, or why the command does not apply: an unknown name, with the known names, or nothing to change.
 */
export function planAct(statement: ActStatement, known: ActKnowledge): Either<LanguageError, ActPlan> {
	switch (statement.verb) {
		case 'drain': {
			return planDrain(statement, known);
		}

		case 'admit': {
			return planAdmit(statement, known);
		}

		case 'pause':
		case 'resume': {
			return planPause(statement, known, statement.verb === 'pause');
		}

		case 'move': {
			return planMove(statement, known);
		}

		case 'cancel': {
			return Right({kind: 'cancel', requestId: statement.target.name});
		}
	}
}

/**
 * Formats a command in a normal form, for its record.
 *
 * @param statement - The statement.
 * @returns For example `move permit-1 to w2`.
 */
export function formatAct(statement: ActStatement): string {
	const {verb, target} = statement;
	return verb === 'move' ? `move ${target.name} to ${statement.version.name}` : `${verb} ${target.name}`;
}

function planDrain({target, reason}: ActStatement, {state, endpoints}: ActKnowledge): Either<LanguageError, ActPlan> {
	if (state.drains.has(target.name)) {
		return Left(errorAt(target, `"${target.name}" is drained already`));
	}

	return endpoints.includes(target.name)
		? Right(changeOf(state, [{action: 'set', kind: 'drain', item: {name: target.name, reason}}]))
		: Left(unknownName('endpoint', target, endpoints));
}

function planAdmit({target}: ActStatement, {state}: ActKnowledge): Either<LanguageError, ActPlan> {
	return state.drains.has(target.name)
		? Right(changeOf(state, [{action: 'remove', kind: 'drain', name: target.name}]))
		: Left(unknownName('drained endpoint', target, [...state.drains.keys()]));
}

function planPause({target}: ActStatement, {state}: ActKnowledge, paused: boolean): Either<LanguageError, ActPlan> {
	const service = state.services.get(target.name);
	if (service === undefined) {
		return Left(unknownName('service', target, [...state.services.keys()]));
	}

	return service.paused === paused
		? Left(errorAt(target, `"${target.name}" is ${paused ? 'paused already' : 'not paused'}`))
		: Right(changeOf(state, [{action: 'set', kind: 'service', item: {...service, paused}}]));
}

function planMove({target, version}: ActStatement & {verb: 'move'}, {state}: ActKnowledge): Either<LanguageError, ActPlan> {
	const models = [...state.services.values()].filter((service): service is ServiceItem & {kind: 'model'} => service.kind === 'model');
	const moved = models.filter(({model}) => model === target.name);
	if (moved.length === 0) {
		return Left(unknownName('model', target, models.map(({model}) => model)));
	}

	const changed = moved.filter(({weightVersion}) => weightVersion !== version.name);
	return changed.length === 0
		? Left(errorAt(version, `"${target.name}" has the weight version "${version.name}" already`))
		: Right(changeOf(state, changed.map(service => ({action: 'set', kind: 'service', item: {...service, weightVersion: version.name}}))));
}

function changeOf(state: ConfigurationState, edits: ConfigurationEdit[]): ActPlan {
	return {kind: 'change', plannedAgainst: state.version, edits};
}

function unknownName(what: string, target: TargetName, known: readonly string[]): LanguageError {
	const names = [...new Set(known)].toSorted();
	const shown = names.length > 20 ? `one of ${names.length}, among them ${names.slice(0, 20).join(', ')}` : names.join(', ');
	return errorAt(target, `there is no ${what} "${target.name}"; expected ${shown === '' ? 'none, as none exists' : shown}`);
}

function errorAt({column}: TargetName, message: string): LanguageError {
	return {column, message};
}
