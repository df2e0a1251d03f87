// A node:test reporter for scripts/run-tests.mjs. It writes one marked JSON line for each test that is not a suite, and
// forwards the output of the tests.
import path from 'node:path';
import process from 'node:process';

export default async function * report(source) {
	for await (const event of source) {
		const {type, data} = event;
		const counted = (type === 'test:pass' || type === 'test:fail') && data.details?.type !== 'suite';
		if (counted) {
			const file = path.relative(process.cwd(), data.file ?? '');
			const cause = data.details.error?.cause ?? data.details.error;
			const error = cause?.stack ?? String(cause ?? '');
			yield `\u0001${JSON.stringify({
				name: data.name, file, passed: type === 'test:pass', error: type === 'test:pass' ? '' : error, milliseconds: data.details.duration_ms,
			})}\n`;
		} else if (type === 'test:stdout' || type === 'test:stderr') {
			yield data.message;
		}
	}
}
