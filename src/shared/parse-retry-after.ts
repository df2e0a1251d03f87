/**
 * Reads a `Retry-After` header: seconds, which may have a fraction, or an HTTP date.
 *
 * @param text - The header; `undefined` if there is none.
 * @param wallMilliseconds - The present time of day, in milliseconds since the epoch.
 * @returns Milliseconds from now on; `undefined` where the header names no time in the future.
 */
export function parseRetryAfter(text: string | undefined, wallMilliseconds: number): number | undefined {
	const trimmed = text?.trim() ?? '';
	const isSeconds = /^\d+(?:\.\d+)?$/v.test(trimmed);
	const isDate = /^[a-z]{3}, \d{2} [a-z]{3} \d{4} [\d:]{8} GMT$/iv.test(trimmed);
	const milliseconds = isSeconds ? Number(trimmed) * 1000 : (isDate ? Date.parse(trimmed) - wallMilliseconds : Number.NaN);
	return milliseconds > 0 ? milliseconds : undefined;
}
