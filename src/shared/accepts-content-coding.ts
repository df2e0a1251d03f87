/**
 * Checks whether a body may be in the content codings that its head names. Without a list of accepted codings none is accepted: a
 * recipient that has asked for none expects the body itself.
 *
 * @param contentEncoding - The value of the answer's `Content-Encoding` header.
 * @param acceptEncoding - The value of the request's `Accept-Encoding` header.
 */
export function acceptsContentCoding(contentEncoding: string | undefined, acceptEncoding: string | undefined): boolean {
	if (contentEncoding === undefined) {
		return true;
	}

	const qualities = qualitiesOf(acceptEncoding ?? '');
	return contentEncoding.split(',').map(coding => coding.trim().toLowerCase()).every(coding =>
		coding === 'identity' || (qualities.get(coding) ?? qualities.get('*') ?? 0) > 0);
}

function qualitiesOf(acceptEncoding: string): ReadonlyMap<string, number> {
	return new Map(acceptEncoding.split(',').map(element => {
		const [coding = '', ...parameters] = element.split(';').map(part => part.trim().toLowerCase());
		const quality = parameters.find(parameter => parameter.startsWith('q='));
		return [coding, quality === undefined ? 1 : Number(quality.slice(2))];
	}).filter((entry): entry is [string, number] => entry[0] !== ''));
}
