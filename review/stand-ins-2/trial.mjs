/* eslint camelcase: "off" -- the platform's fields are in snake_case */
/** Runs one case: a folder for its settings, free loopback addresses, a record of what happened, and the end of all processes. */
import {randomInt} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const limitMilliseconds = 115_000;

export const hasTrouble = process.env.TROUBLE !== '0';

export const usualLimits = {
	max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

export class Trial {
	/** The folder of the settings files. */
	folder = mkdtempSync(path.join(tmpdir(), 'savorygauge-review-'));
	#network = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
	#lines = [];
	#startedAt = performance.now();
	#cleanups = [];

	/** A loopback address that no other run uses. */
	ip(number) {
		return `${this.#network}.${number}`;
	}

	onEnd(cleanup) {
		this.#cleanups.push(cleanup);
	}

	/** Adds a line to the record, with the seconds since the start. */
	note(text, at = performance.now()) {
		this.#lines.push({at, text});
	}

	/**
	 * Runs the case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
	 *
	 * @param folder - The folder of the case, for its record.
	 * @param play - Returns whether the rule was broken.
	 */
	async run(folder, play) {
		let status = 2;
		const timer = setTimeout(async () => {
			this.note('could not run: it took too long');
			await this.#finish(folder, 2);
		}, limitMilliseconds);
		try {
			status = await play() ? 1 : 0;
			this.note(status === 1 ? 'the rule was broken' : 'the rule held');
		} catch (error) {
			this.note(`could not run: ${error.stack}`);
		}

		clearTimeout(timer);
		await this.#finish(folder, status);
	}

	async #finish(folder, status) {
		for (const cleanup of this.#cleanups.toReversed()) {
			await cleanup();
		}

		const lines = this.#lines.toSorted((left, right) => left.at - right.at);
		writeFileSync(path.join(folder, 'record.txt'), lines.map(({at, text}) => `${((at - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`).join(''));
		rmSync(this.folder, {recursive: true, force: true});
		// eslint-disable-next-line unicorn/no-process-exit -- the run ends here, whatever is still open
		process.exit(status);
	}
}
