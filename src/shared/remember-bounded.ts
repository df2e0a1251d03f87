/**
 * Adds a text to a set; where the set then holds more than a number of texts, the one that was added first is dropped.
 *
 * @param texts - The set, which is changed.
 * @param max - The number.
 */
export function rememberBounded(texts: Set<string>, text: string, max: number): void {
	texts.add(text);
	if (texts.size > max) {
		texts.delete(texts.values().next().value!);
	}
}
