import assert from 'node:assert/strict';
import {test} from 'node:test';
import {formatFinding} from '../shared/format-finding.js';
import {readSettingsFile} from './settings-file.js';

const validFile = `node=front-split-1
zone=split
ip=10.1.0.40
listen.front=10.1.0.40:8005
listen.ready=10.1.0.40:8002
internal_ports=7700,7715
platform.address=10.200.1.7:8007
heartbeat_ms=1200
bounds.config_apply_ms=2000
bounds.revoke_ms=5000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.new_one=7
`;

test('a settings file is read, and unknown fields are ignored', () => {
	const settings = readSettingsFile(validFile, 'boot.conf').unsafeCoerce();
	assert.equal(settings.instance, 'front-split-1');
	assert.deepEqual(
		[settings.listenPeers, settings.listenStandby, settings.listenRelay, settings.listenStreams],
		['10.1.0.40:7700', '10.1.0.40:7701', '10.1.0.40:7702', '10.1.0.40:7703'],
	);
	assert.equal(settings.bounds.graceMilliseconds, 8000);
	assert.equal(settings.bounds.retryRatio, 0.2);
	assert.equal(settings.bounds.leaseMilliseconds, 3000);
});

test('all findings are reported together, each with its line', () => {
	const broken = validFile.replace('zone=split\n', '').replace('revoke_ms=5000', 'revoke_ms=soon');
	const findings = readSettingsFile(broken, 'boot.conf').swap().orDefault([]);
	assert.deepEqual(findings.map(finding => formatFinding(finding)), [
		'boot.conf:1:1: zone is missing',
		'boot.conf:9:1: bounds.revoke_ms must be a non-negative number',
	]);
});

test('calls wait for room only where the contracts name pressure', () => {
	const waitingOf = (text: string): string => readSettingsFile(text, 'boot.conf').unsafeCoerce().waiting;
	assert.deepEqual([
		waitingOf(validFile), waitingOf(`${validFile}contracts=claims\n`), waitingOf(`${validFile}contracts=claims, pressure\n`), waitingOf(`${validFile}contracts=pressures\n`),
	], ['none', 'none', 'calls', 'none']);
});

test('the memory limit is set wherever the settings state it, under whichever contracts', () => {
	// Guards against a process without a limit on bodies that is killed at its memory limit.
	const memoryOf = (lines: string): number | undefined => readSettingsFile(`${validFile}${lines}`, 'boot.conf').unsafeCoerce().memoryBytes;
	assert.equal(memoryOf('limits.memory_mb=202\ncontracts=streams,pressure\n'), 202 * 1_048_576);
	assert.equal(memoryOf('limits.memory_mb=202\ncontracts=streams,pressures\n'), 202 * 1_048_576);
	assert.equal(memoryOf('limits.memory_mb=202\n'), 202 * 1_048_576);
	assert.equal(memoryOf('contracts=pressure\n'), undefined);
});

test('requests of workspaces of one rank keep the order of their routes only where callers compete for capacity', () => {
	const urgencyOf = (text: string): string => readSettingsFile(text, 'boot.conf').unsafeCoerce().urgency;
	assert.deepEqual([urgencyOf(validFile), urgencyOf(`${validFile}contracts=claims\n`), urgencyOf(`${validFile}contracts=claims,pressure\n`)], ['workspace', 'workspace', 'workspace-and-route']);
});
