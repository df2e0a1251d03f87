/** `npm run golden`: writes all golden files anew. The difference is read before it is committed. */
import {writeFileSync} from 'node:fs';
import {goldenSessions, playSession} from './play-session.js';

for (const name of goldenSessions.keys()) {
	writeFileSync(`golden/${name}.txt`, await playSession(name));
	console.log(`golden/${name}.txt`);
}
