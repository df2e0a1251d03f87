import assert from 'node:assert/strict';
import {test} from 'node:test';
import {formatFinding} from '../shared/format-finding.js';
import {checkDeclaration} from './check-declaration.js';

const digest = 'a'.repeat(64);

test('all findings of all files are reported together, each with file, line and column', () => {
	const text = [
		'workspaces:',
		'  - name: quay',
		`    keyDigests: [${digest}]`,
		'    sharre: 2',
		'    services: [permits]',
		'services:',
		'  - {name: permits, kind: model, model: "", weightVersion: w1}',
	].join('\n');
	const findings = checkDeclaration([{file: 'a.yaml', text}, {file: 'b.yaml', text: 'rules: [\n'}]);
	const lines = (findings.extract() as Array<Parameters<typeof formatFinding>[0]>).map(finding => formatFinding(finding));
	assert.ok(lines.some(line => line.startsWith('a.yaml:4:13: unknown key "sharre"')), lines.join('\n'));
	assert.ok(lines.some(line => line.startsWith('a.yaml:7:41: services.0.model:')), lines.join('\n'));
	assert.ok(lines.some(line => line.startsWith('b.yaml:')), lines.join('\n'));
});

test('a reference to an undeclared name is reported at its line and column', () => {
	const text = `workspaces:\n  - name: quay\n    keyDigests: [${digest}]\n    services: [permits]\n`;
	const findings = checkDeclaration([{file: 'a.yaml', text}]);
	assert.deepEqual((findings.extract() as Array<Parameters<typeof formatFinding>[0]>).map(finding => formatFinding(finding)), ['a.yaml:4:16: no service "permits" is declared']);
});
