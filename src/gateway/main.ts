#!/usr/bin/env node
/** `savorygauge-gateway`: the routed data path on the platform; the place that puts its parts together. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {systemMomentClock} from '../adapters/system-moment-clock.js';
import {PlatformCacheStore} from '../platform/platform-cache-store.js';
import {platformCatalog} from '../platform/platform-catalog.js';
import {PlatformEngineControl} from '../platform/platform-engine-control.js';
import {PlatformStore} from '../platform/platform-store.js';
import {readSettingsFile, settingsPathVariable} from '../platform/settings-file.js';
import {platformWireNames} from '../platform/wire-names.js';
import {seededRandom} from '../peer/random/seeded-random.js';
import {exitWithFindings} from '../settings/read-settings.js';
import {hashOf} from '../shared/hash-of.js';
import {GatewayDaemon} from './gateway-daemon.js';
import {GatewayMetrics} from './observability/gateway-metrics.js';

const path = process.env[settingsPathVariable];
if (path === undefined) {
	exitWithFindings([{place: {source: 'environment', name: settingsPathVariable}, message: 'is missing'}]);
}

const settings = readSettingsFile(readFileSync(path, 'utf8'), path).caseOf({
	Left: findings => exitWithFindings(findings),
	Right: value => value,
});
const metrics = new GatewayMetrics();
const daemon = new GatewayDaemon(settings, {
	clock: systemMomentClock,
	names: platformWireNames,
	catalog: platformCatalog,
	store: new PlatformStore(settings.storeAddress, (call, outcome) => {
		metrics.storeCalls.inc({call, outcome});
	}),
	control: new PlatformEngineControl(),
	storeControl: new PlatformCacheStore(),
	metrics,
	random: seededRandom(hashOf(`${settings.instance}|${process.pid}`)),
});
const stop = async (): Promise<void> => {
	await daemon.stop();
	process.exit(0);
};

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void stop();
	});
}

process.on('SIGHUP', () => {
	daemon.reload(readSettingsFile(readFileSync(path, 'utf8'), path));
});

await daemon.run();
