/** A development script that writes docs/SETTINGS.md and docs/METRICS.md. It is not part of the published package. */
import {writeFile} from 'node:fs/promises';
import {referencePages} from './reference-pages.js';

for (const [file, text] of Object.entries(referencePages())) {
	await writeFile(file, text);
}
