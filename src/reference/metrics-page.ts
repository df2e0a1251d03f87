/** Generates the text of docs/METRICS.md. */

/** A metric that the entry sends over UDP. */
export type SentMetric = {kind: string; unit: string; tags: readonly string[]; description: string};

/** A metric that the gateway serves as text. */
export type ServedMetric = {name: string; type: string; labelNames: readonly string[]; help: string};

/**
 * Generates the page.
 *
 * @param sent - The metrics of the entry, by name without prefix.
 * @param served - The metrics of the gateway.
 */
export function metricsPage(sent: Record<string, SentMetric>, served: readonly ServedMetric[]): string {
	const sentLines = Object.entries(sent).map(([name, {kind, unit, tags, description}]) =>
		`| \`savorygauge.${name}\` | ${kind} | ${unit} | ${tags.join(', ') || '-'} | ${description} |`);
	const servedLines = served.map(({name, type, labelNames, help}) =>
		`| \`${name}\` | ${type} | ${labelNames.join(', ') || '-'} | ${help} |`);
	return [
		'# Metrics',
		'',
		'Made from the definitions in the code by `npm run docs:settings`; a test checks that it is up to date.',
		'',
		'## savorygauge-entry',
		'',
		'Metrics go out by the StatsD protocol over UDP to `--metrics-address`. Each carries the tags `instance` and',
		'`data_centre` besides those listed. No tag holds a prompt, a key or the name of a workspace.',
		'',
		'| name | kind | unit | tags | meaning |',
		'|---|---|---|---|---|',
		...sentLines,
		'',
		'## savorygauge-gateway',
		'',
		'Metrics are served as text on the metrics address, path `/metrics`. docs/OPERATIONS.md tells when to look at which.',
		'',
		'| name | kind | labels | meaning |',
		'|---|---|---|---|',
		...servedLines,
		'',
	].join('\n');
}
