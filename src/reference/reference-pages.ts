/** Generates the reference pages from the definitions that the programs use, so that the pages match the programs. */
import {entrySettingDefinitions} from '../entry/entry-settings.js';
import {GatewayMetrics} from '../gateway/observability/gateway-metrics.js';
import {metricDefinitions} from '../observability/metrics.js';
import {operatorSettingDefinitions} from '../operator/operator-settings.js';
import {timelineSettingDefinitions} from '../timeline/timeline-settings.js';
import {metricsPage, type ServedMetric} from './metrics-page.js';
import {settingsPage} from './settings-page.js';

/** Returns the text of each page, by file name. */
export function referencePages(): Record<string, string> {
	return {
		'docs/SETTINGS.md': settingsPage({
			'savorygauge-entry': entrySettingDefinitions,
			savorygauge: operatorSettingDefinitions,
			'savorygauge-timeline': timelineSettingDefinitions,
		}),
		'docs/METRICS.md': metricsPage(metricDefinitions, servedMetrics()),
	};
}

/** Casts because the library's type of a registered metric lacks `labelNames`, which every metric has. */
function servedMetrics(): ServedMetric[] {
	return new GatewayMetrics().registry.getMetricsAsArray() as unknown as ServedMetric[];
}
