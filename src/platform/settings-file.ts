/** Reads the platform's settings file: lines of the form `name=value`, with lists separated by commas. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type GatewaySettings} from '../gateway/gateway-settings.js';
import {type Finding} from '../shared/types.js';

/** The environment variable that holds the path of the settings file. */
export const settingsPathVariable = 'SAVORYGAUGE_BOOT';

/** The port for metrics in the deploy file. */
const metricsPort = 9464;
const readyPath = '/readiness';
const zonePrefix = 'zones.';
/** Listed in `contracts` where callers compete for capacity. */
const pressureContract = 'pressure';
const bytesPerMegabyte = 1_048_576;
const defaultMaxDescriptors = 4096;

/**
 * Reads a settings file. Unknown fields are ignored.
 *
 * @param text - The content of the file.
 * @param file - The path of the file, for findings.
 * @returns The settings, or all findings.
 */
export function readSettingsFile(text: string, file: string): Either<Finding[], GatewaySettings> {
	const fields = fieldsOf(text);
	const findings: Finding[] = [];
	const report = (name: string, message: string): void => {
		findings.push({
			place: {
				source: 'file', file, line: fields.get(name)?.line ?? 1, column: 1,
			}, message: `${name} ${message}`,
		});
	};

	const textOf = (name: string): string => {
		const value = fields.get(name)?.value ?? '';
		if (value === '') {
			report(name, 'is missing');
		}

		return value;
	};

	const numberOf = (name: string, fallback?: number): number => {
		const value = fields.get(name)?.value;
		if (value === undefined && fallback !== undefined) {
			return fallback;
		}

		const number = Number(value === undefined || value === '' ? Number.NaN : value);
		if (!Number.isFinite(number) || number < 0) {
			report(name, 'must be a non-negative number');
		}

		return number;
	};

	const internalAddressOf = (index: number): string => `${textOf('ip')}:${Number(textOf('internal_ports').split(',', 1)[0]) + index}`;
	const hasPressure = (fields.get('contracts')?.value ?? '').split(',').some(contract => contract.trim() === pressureContract);
	const settings: GatewaySettings = {
		instance: textOf('node'),
		dataCentre: textOf('zone'),
		listenCallers: textOf('listen.front'),
		listenReady: textOf('listen.ready'),
		readyPath,
		listenPeers: internalAddressOf(0),
		listenStandby: internalAddressOf(1),
		listenRelay: internalAddressOf(2),
		listenStreams: internalAddressOf(3),
		listenMetrics: `${textOf('ip')}:${metricsPort}`,
		storeAddress: textOf('platform.address'),
		cores: numberOf('limits.cpu_share', 1) * numberOf('limits.cores', 1),
		maxDescriptors: numberOf('limits.max_fds', defaultMaxDescriptors),
		...(fields.has('limits.memory_mb') ? {memoryBytes: numberOf('limits.memory_mb') * bytesPerMegabyte} : {}),
		regions: {
			own: fields.get('region')?.value ?? '',
			byDataCentre: new Map([...fields].flatMap(([name, {value}]) => name.startsWith(zonePrefix) ? [[name.slice(zonePrefix.length), value]] : [])),
		},
		urgency: hasPressure ? 'workspace-and-route' : 'workspace',
		idleConnections: 'ignored',
		waiting: hasPressure ? 'calls' : 'none',
		bounds: {
			configurationMilliseconds: numberOf('bounds.config_apply_ms'),
			revocationMilliseconds: numberOf('bounds.revoke_ms'),
			drainMilliseconds: numberOf('bounds.drain_ms'),
			graceMilliseconds: numberOf('bounds.grace_s') * 1000,
			retryRatio: numberOf('bounds.budget_ratio'),
			retryWindowMilliseconds: numberOf('bounds.budget_window_s') * 1000,
			leaseMilliseconds: numberOf('bounds.lease_ms', 3000),
			weightsMilliseconds: numberOf('bounds.version_ms', 10_000),
			heartbeatMilliseconds: numberOf('heartbeat_ms'),
			contactMilliseconds: numberOf('bounds.contact_ms', 3000),
			warmUpRatio: numberOf('bounds.cold_over', 1),
			warmUpExtra: numberOf('bounds.cold_slack', 0),
		},
	};
	return findings.length > 0 ? Left(findings) : Right(settings);
}

function fieldsOf(text: string): Map<string, {value: string; line: number}> {
	const fields = new Map<string, {value: string; line: number}>();
	for (const [index, line] of text.split('\n').entries()) {
		const separator = line.indexOf('=');
		if (separator > 0) {
			fields.set(line.slice(0, separator).trim(), {value: line.slice(separator + 1).trim(), line: index + 1});
		}
	}

	return fields;
}
