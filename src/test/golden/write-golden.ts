/** `npm run golden`: rewrites all golden files. Review the differences before committing them. */
import {writeFileSync} from 'node:fs';
import {goldenSessions, runSession} from './run-session.js';

for (const name of goldenSessions.keys()) {
	writeFileSync(`golden/${name}.txt`, await runSession(name));
	console.log(`golden/${name}.txt`);
}
