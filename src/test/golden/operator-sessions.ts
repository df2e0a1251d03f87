/** Golden sessions of operators: concurrent changes of the configuration, and failures of the platform. */
import {type RawRequest} from '../raw-http.js';
import {type SessionScript} from './caller-sessions.js';
import {type GoldenSession, prompt} from './golden-session.js';

function proposal(author: string, plannedAgainst: number, paused: boolean): RawRequest {
	const item = {
		name: 'permits', kind: 'model', model: 'permit-1', weightVersion: 'w1', fencing: 'checked', paused,
	};
	return {
		method: 'POST',
		path: '/operator/configuration/changes',
		body: JSON.stringify({
			plannedAgainst, author, reason: paused ? 'the rulebook is wrong' : 'the rulebook is right again', edits: [{action: 'set', kind: 'service', item}],
		}),
	};
}

const read = (path: string): RawRequest => ({method: 'GET', path});

async function racingOperators(session: GoldenSession): Promise<void> {
	session.comment('Vesna and Lars both plan against version 1. Vesna is first: she pauses the permits.');
	await session.sendAsOperator('vesna', proposal('vesna', 1, true));
	session.comment('Lars did not see that. His change is not accepted; he is told who changed what since, and loses nothing.');
	session.entry.clock.advance(1500);
	await session.sendAsOperator('lars', proposal('lars', 1, false));
	session.comment('Callers meet Vesna\'s change.');
	await session.sendAsCaller('performer', prompt('Is pitch 4 free?'));
	session.comment('Lars plans anew against version 2 and applies. Callers are served again.');
	await session.sendAsOperator('lars', proposal('lars', 2, false));
	await session.sendAsCaller('performer', prompt('Is pitch 4 free?'));
	session.comment('The history holds all three.');
	await session.sendAsOperator('vesna', read('/operator/configuration/head'));
	await session.sendAsOperator('vesna', read('/operator/configuration/changes'));
}

async function operatorsAndThePlatform(session: GoldenSession): Promise<void> {
	session.comment('The table service applies Vesna\'s change and loses its answer. It is read back, and she is told the truth.');
	session.entry.table.loseAnswers = 1;
	await session.sendAsOperator('vesna', proposal('vesna', 1, true));
	session.comment('The table service is down. Nothing is accepted; what is in force stays.');
	session.entry.table.down = true;
	await session.sendAsOperator('lars', proposal('lars', 2, false));
	await session.sendAsCaller('performer', prompt('Is pitch 4 free?'));
	session.comment('A stranger without the operators\' key.');
	await session.sendAsOperator('stranger', {...read('/operator/configuration/head'), headers: {authorization: 'Bearer guessed'}});
}

/** All sessions of operators, by the names of their files. */
export const operatorSessions: ReadonlyMap<string, {title: string; script: SessionScript}> = new Map([
	['racing-operators', {title: 'Racing operators', script: racingOperators}],
	['operators-and-the-platform', {title: 'Operators while the platform fails', script: operatorsAndThePlatform}],
]);
