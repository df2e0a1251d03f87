/** The text of docs/METRICS.md. */

/** A metric that goes out over UDP. */
export type SentMetric = {kind: string; unit: string; tags: readonly string[]; description: string};

/**
 * Writes the page of metrics.
 *
 * @param definitions - What the entry sends, by name without its prefix.
 * @returns The page.
 */
export function metricsPage(definitions: Record<string, SentMetric>): string {
	const lines = Object.entries(definitions).map(([name, {kind, unit, tags, description}]) =>
		`| \`savorygauge.${name}\` | ${kind} | ${unit} | ${tags.join(', ') || '-'} | ${description} |`);
	return [
		'# Metrics',
		'',
		'Made from the definitions in the code by `npm run docs:settings`; a test checks that it is up to date.',
		'',
		'Metrics go out by the StatsD protocol over UDP to `--metrics-address`. Each carries the tags `instance` and',
		'`data_centre` besides those listed. No tag holds a prompt, a key or the name of a workspace.',
		'',
		'| name | kind | unit | tags | meaning |',
		'|---|---|---|---|---|',
		...lines,
		'',
	].join('\n');
}
