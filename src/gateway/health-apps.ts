/** The HTTP applications of the readiness check and the metrics. */
import {H3} from 'h3';
import {type Registry} from 'prom-client';

/** Answers 200 while the instance is ready, and 503 otherwise. */
export function createReadyApp(path: string, isReady: () => boolean): H3 {
	const app = new H3();
	app.get(path, event => {
		event.res.status = isReady() ? 200 : 503;
		return '';
	});
	return app;
}

/** Serves the metrics as text. */
export function createMetricsApp(registry: Registry): H3 {
	const app = new H3();
	app.get('/metrics', async event => {
		event.res.headers.set('content-type', registry.contentType);
		return registry.metrics();
	});
	return app;
}
