/** The pages that are made from the definitions which the programs themselves use; the place that puts them together. */
import {entrySettingDefinitions} from '../entry/entry-settings.js';
import {GatewayMetrics} from '../gateway/observability/gateway-metrics.js';
import {metricDefinitions} from '../observability/metrics.js';
import {operatorSettingDefinitions} from '../operator/operator-settings.js';
import {timelineSettingDefinitions} from '../timeline/timeline-settings.js';
import {metricsPage, type ServedMetric} from './metrics-page.js';
import {settingsPage} from './settings-page.js';

/** Makes all pages anew; gives their text by file. */
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

/** The library's type of a registered metric leaves out its labels, which each metric has. */
function servedMetrics(): ServedMetric[] {
	return new GatewayMetrics().registry.getMetricsAsArray() as unknown as ServedMetric[];
}
