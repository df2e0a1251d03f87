/** Plans the effect of a command statement, without carrying it out. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type ConfigurationState} from '../protocol/configuration/configuration-state.js';
import {type ConfigurationEdit, type ServiceItem} from '../shared/types.js';
import {type CommandStatement, type LanguageError, type TargetName} from './statement.js';

/** The effect of a command: a change of the configuration, or the cancellation of one request at the instance that serves it. */
export type CommandPlan
	= | {kind: 'change'; plannedAgainst: number; edits: ConfigurationEdit[]}
		| {kind: 'cancel'; requestId: string};

/** The state that a command is planned against. */
export type CommandContext = {
	state: ConfigurationState;
	/** Names of all endpoints on the platform's list. */
	endpoints: readonly string[];
};

/**
 * Plans a command.
 *
 * @param statement - The statement.
 * @param context - The newest configuration and the endpoints.
 * @returns The plan, or why the command does not apply: an unknown name, with the known names, or nothing to change.
 */
export function planCommand(statement: CommandStatement, context: CommandContext): Either<LanguageError, CommandPlan> {
	switch (statement.verb) {
		case 'drain': {
			return planDrain(statement, context);
		}

		case 'admit': {
			return planAdmit(statement, context);
		}

		case 'pause':
		case 'resume': {
			return planPause(statement, context, statement.verb === 'pause');
		}

		case 'move': {
			return planMove(statement, context);
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
export function formatCommand(statement: CommandStatement): string {
	const {verb, target} = statement;
	return verb === 'move' ? `move ${target.name} to ${statement.version.name}` : `${verb} ${target.name}`;
}

function planDrain({target, reason}: CommandStatement, {state, endpoints}: CommandContext): Either<LanguageError, CommandPlan> {
	if (state.drains.has(target.name)) {
		return Left(errorAt(target, `"${target.name}" is drained already`));
	}

	return endpoints.includes(target.name)
		? Right(changePlan(state, [{action: 'set', kind: 'drain', item: {name: target.name, reason}}]))
		: Left(unknownNameError('endpoint', target, endpoints));
}

function planAdmit({target}: CommandStatement, {state}: CommandContext): Either<LanguageError, CommandPlan> {
	return state.drains.has(target.name)
		? Right(changePlan(state, [{action: 'remove', kind: 'drain', name: target.name}]))
		: Left(unknownNameError('drained endpoint', target, [...state.drains.keys()]));
}

function planPause({target}: CommandStatement, {state}: CommandContext, paused: boolean): Either<LanguageError, CommandPlan> {
	const service = state.services.get(target.name);
	if (service === undefined) {
		return Left(unknownNameError('service', target, [...state.services.keys()]));
	}

	return service.paused === paused
		? Left(errorAt(target, `"${target.name}" is ${paused ? 'paused already' : 'not paused'}`))
		: Right(changePlan(state, [{action: 'set', kind: 'service', item: {...service, paused}}]));
}

function planMove({target, version}: CommandStatement & {verb: 'move'}, {state}: CommandContext): Either<LanguageError, CommandPlan> {
	const models = [...state.services.values()].filter((service): service is ServiceItem & {kind: 'model'} => service.kind === 'model');
	const moved = models.filter(({model}) => model === target.name);
	if (moved.length === 0) {
		return Left(unknownNameError('model', target, models.map(({model}) => model)));
	}

	const changed = moved.filter(({weightVersion}) => weightVersion !== version.name);
	return changed.length === 0
		? Left(errorAt(version, `"${target.name}" has the weight version "${version.name}" already`))
		: Right(changePlan(state, changed.map(service => ({action: 'set', kind: 'service', item: {...service, weightVersion: version.name}}))));
}

function changePlan(state: ConfigurationState, edits: ConfigurationEdit[]): CommandPlan {
	return {kind: 'change', plannedAgainst: state.version, edits};
}

function unknownNameError(what: string, target: TargetName, known: readonly string[]): LanguageError {
	const names = [...new Set(known)].toSorted();
	const shown = names.length > 20 ? `one of ${names.length}, among them ${names.slice(0, 20).join(', ')}` : names.join(', ');
	return errorAt(target, `there is no ${what} "${target.name}"; expected ${shown === '' ? 'none, as none exists' : shown}`);
}

function errorAt({column}: TargetName, message: string): LanguageError {
	return {column, message};
}
