/**
 * Sets a value in a map; where the map then holds more than a number of values, the one that was set first is dropped.
 *
 * @param values - The map, which is changed.
 * @param key - The key; a value that it had counts as set anew.
 * @param value - The value.
 * @param max - The number.
 */
export function rememberLatest<Value>(values: Map<string, Value>, key: string, value: Value, max: number): void {
	values.delete(key);
	values.set(key, value);
	if (values.size > max) {
		values.delete(values.keys().next().value!);
	}
}
