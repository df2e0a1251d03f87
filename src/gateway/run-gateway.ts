/** Assembles the components of `savorygauge-gateway`, the routed data path on the platform, and runs them. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {Either} from 'purify-ts/Either';
import {systemMomentClock} from '../adapters/system-moment-clock.js';
import {PlatformCacheStore} from '../platform/platform-cache-store.js';
import {platformStoreSchema} from '../platform/platform-store-schema.js';
import {PlatformEngineControl} from '../platform/platform-engine-control.js';
import {PlatformStore} from '../platform/platform-store.js';
import {readSettingsFile, settingsPathVariable} from '../platform/settings-file.js';
import {platformWireNames} from '../platform/wire-names.js';
import {seededRandom} from '../peer/random/seeded-random.js';
import {exitWithFindings} from '../settings/read-settings.js';
import {stopOnSignals} from '../shared/stop-on-signals.js';
import {hashOf} from '../shared/hash-of.js';
import {type Finding} from '../shared/types.js';
import {GatewayDaemon} from './gateway-daemon.js';
import {type GatewaySettings} from './gateway-settings.js';
import {GatewayMetrics} from './observability/gateway-metrics.js';

/** Runs the gateway until a signal stops the process; exits with findings if the settings are not valid. */
export async function runGateway(): Promise<void> {
	const path = process.env[settingsPathVariable];
	if (path === undefined) {
		exitWithFindings([{place: {source: 'environment', name: settingsPathVariable}, message: 'is missing'}]);
	}

	const readSettings = (): Either<Finding[], GatewaySettings> => Either.encase(() => readFileSync(path, 'utf8'))
		.mapLeft((error): Finding[] => [{place: {source: 'environment', name: settingsPathVariable}, message: error.message}])
		.chain(text => readSettingsFile(text, path));
	const settings = readSettings().caseOf({
		Left: findings => exitWithFindings(findings),
		Right: value => value,
	});
	const metrics = new GatewayMetrics();
	const daemon = new GatewayDaemon(settings, {
		clock: systemMomentClock,
		names: platformWireNames,
		storeSchema: platformStoreSchema,
		store: new PlatformStore(settings.storeAddress, (call, table, outcome) => {
			metrics.storeCalls.inc({call, table, outcome});
		}),
		control: new PlatformEngineControl(),
		storeControl: new PlatformCacheStore(),
		metrics,
		random: seededRandom(hashOf(`${settings.instance}|${process.pid}`)),
	});
	stopOnSignals(async () => daemon.stop());

	process.on('SIGHUP', () => {
		daemon.reload(readSettings());
	});

	await daemon.run();
}
