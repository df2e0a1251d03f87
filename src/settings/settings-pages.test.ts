import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {metricsPage, settingsPage} from './settings-pages.js';

const pages = {'docs/SETTINGS.md': settingsPage(), 'docs/METRICS.md': metricsPage()};
for (const [file, expected] of Object.entries(pages)) {
	test(`${file} is what the definitions give (npm run docs:settings makes it anew)`, async () => {
		assert.equal(await readFile(file, 'utf8'), expected);
	});
}
