/** Writes docs/SETTINGS.md and docs/METRICS.md. Not part of what ships. */
import {writeFile} from 'node:fs/promises';
import {metricsPage, settingsPage} from './settings-pages.js';

await writeFile('docs/SETTINGS.md', settingsPage());
await writeFile('docs/METRICS.md', metricsPage());
