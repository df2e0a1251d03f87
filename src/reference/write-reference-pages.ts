/** Writes docs/SETTINGS.md and docs/METRICS.md. Not part of what ships. */
import {writeFile} from 'node:fs/promises';
import {referencePages} from './reference-pages.js';

for (const [file, text] of Object.entries(referencePages())) {
	await writeFile(file, text);
}
