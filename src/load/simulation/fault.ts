/** A fault that is injected into a run; its times are in milliseconds since the start of the run. */
export type Fault = {
	kind: 'engine-dies' | 'engine-slow' | 'link-slow' | 'store-full' | 'store-dies' | 'data-centre-cut' | 'reports-late';
	/** Name of the engine, store or data centre; empty for `reports-late`. */
	target: string;
	from: number;
	until: number;
	/** How many times slower an engine or a link becomes; for `reports-late`, the lag in milliseconds. */
	factor: number;
};
