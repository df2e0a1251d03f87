import {callerSessions} from './caller-sessions.js';
import {GoldenSession} from './golden-session.js';
import {operatorSessions} from './operator-sessions.js';

/** All sessions, by the names of their files in `golden/`. */
export const goldenSessions = new Map([...callerSessions, ...operatorSessions]);

/**
 * Runs a session.
 *
 * @param name - The name of the session.
 * @returns The recorded text, which must equal the golden file.
 */
export async function runSession(name: string): Promise<string> {
	const {title, script} = goldenSessions.get(name)!;
	const session = new GoldenSession();
	await session.start(title);
	await script(session);
	return session.end();
}
