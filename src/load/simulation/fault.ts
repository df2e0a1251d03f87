/** A fault of a run: what goes wrong, where, and from when to when in milliseconds since the start. */
export type Fault = {
	kind: 'engine-dies' | 'engine-slow' | 'link-slow' | 'store-full' | 'store-dies' | 'data-centre-cut' | 'reports-late';
	/** Name of the engine, store or data centre; empty for reports. */
	target: string;
	from: number;
	until: number;
	/** How many times slower, for what slows down; the lag in milliseconds for reports. */
	factor: number;
};
