import {callerSessions} from './caller-sessions.js';
import {GoldenSession} from './golden-session.js';
import {operatorSessions} from './operator-sessions.js';

/** All sessions, by the name of their file under `golden/`. */
export const goldenSessions = new Map([...callerSessions, ...operatorSessions]);

/**
 * Plays a session.
 *
 * @param name - Its name.
 * @returns What its golden file has to say.
 */
export async function playSession(name: string): Promise<string> {
	const {title, script} = goldenSessions.get(name)!;
	const session = new GoldenSession();
	await session.start(title);
	await script(session);
	return session.end();
}
