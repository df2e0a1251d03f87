/** The commands of `savorygauge-timeline`: collect, read, follow, draw. */
import {writeFile} from 'node:fs/promises';
import {type Finding} from '../shared/types.js';
import {TimelineCollector} from './collector.js';
import {drawHtml, drawSvg} from './draw-svg.js';
import {drawText} from './draw-text.js';
import {EventStore, sortEvents} from './event-store.js';
import {formatEvent} from './format-event.js';
import {matchesFilter} from './matches-filter.js';
import {readCollector} from './read-collector.js';
import {buildRequestTrace} from './request-trace.js';
import {EventSaver, readSavedEvents, type SavedEvents} from './saved-events.js';
import {type EventFilter, type MissingEvents} from './timeline-messages.js';
import {type TimelineSettings} from './timeline-settings.js';

export const timelineCommands = ['collect', 'read', 'follow', 'draw'] as const;

/** The name of a command. */
export type TimelineCommand = (typeof timelineCommands)[number];

/** Receives results and problems; the program writes them to standard output and standard error. */
export type TimelineOutput = {
	line(text: string): void;
	problem(text: string): void;
};

/**
 * Checks that the settings fit the command.
 *
 * @param command - The command.
 * @param settings - The settings, each valid by itself.
 * @returns All findings.
 */
export function checkCommand(command: TimelineCommand, settings: TimelineSettings): Finding[] {
	const {collector, file, request, output} = settings;
	const findings: Finding[] = [];
	const addFinding = (name: string, message: string): void => {
		findings.push({place: {source: 'flag', name}, message});
	};

	if ((command === 'read' || command === 'draw') && (collector === '') === (file === '')) {
		addFinding('--collector', 'give either this or --file');
	}

	if (command === 'follow' && collector === '') {
		addFinding('--collector', 'is missing');
	}

	if (command === 'draw' && request === '') {
		addFinding('--request', 'is missing');
	}

	if (output !== '' && !/\.(?:svg|html)$/v.test(output)) {
		addFinding('--output', 'must end in .svg or .html');
	}

	return findings;
}

/** Collects events until the signal aborts, and prints those that pass the filters. */
export async function collect(settings: TimelineSettings, output: TimelineOutput, signal: AbortSignal): Promise<void> {
	const filter = filterOf(settings);
	const store = new EventStore(settings.keepEvents);
	const saver = settings.save === ''
		? undefined
		: new EventSaver(settings.save, error => {
			output.problem(`cannot save: ${error.message}`);
		});
	let reportedMissing = '';
	const collector = new TimelineCollector(store, ({events}) => {
		saver?.save(events);
		for (const event of events) {
			if (matchesFilter(event, filter)) {
				output.line(formatEvent(event));
			}
		}

		const missing = store.missing().map(item => formatMissing(item)).join('\n');
		if (missing !== reportedMissing) {
			reportedMissing = missing;
			output.problem(missing);
		}
	});
	const separator = settings.listen.lastIndexOf(':');
	const address = await collector.listen(settings.listen.slice(0, separator), Number(settings.listen.slice(separator + 1)));
	output.line(JSON.stringify({ready: true, address}));
	await new Promise(resolve => {
		signal.addEventListener('abort', resolve, {once: true});
	});
	await collector.close();
	await saver?.close();
	if (saver !== undefined && saver.notSaved > 0) {
		output.problem(`${saver.notSaved} events could not be saved`);
	}
}

/** Prints the events of a collector or a file. Resolves with the exit status. */
export async function read(settings: TimelineSettings, output: TimelineOutput): Promise<number> {
	const {events, problems} = await loadEvents(settings, filterOf(settings));
	for (const event of sortEvents(events)) {
		output.line(formatEvent(event));
	}

	for (const problem of problems) {
		output.problem(problem);
	}

	return 0;
}

/** Prints the events that a collector holds and new ones as they arrive. Throws when the connection to the collector ends. */
export async function follow(settings: TimelineSettings, output: TimelineOutput): Promise<void> {
	let reportedProblems = '';
	for await (const reply of readCollector(settings.collector, {query: filterOf(settings), follow: true})) {
		for (const event of reply.events) {
			output.line(formatEvent(event));
		}

		const skipped = reply.skipped > 0 ? [`${reply.skipped} events were skipped here: this reader was too slow`] : [];
		const problems = [...reply.missing.map(item => formatMissing(item)), ...skipped].join('\n');
		if (reply.isComplete && problems !== reportedProblems && problems !== '') {
			reportedProblems = problems;
			output.problem(problems);
		}
	}
}

/** Draws the trace of a request across all processes. Resolves with the exit status. */
export async function draw(settings: TimelineSettings, output: TimelineOutput): Promise<number> {
	const {events, problems} = await loadEvents(settings, {request: settings.request});
	for (const problem of problems) {
		output.problem(problem);
	}

	const trace = buildRequestTrace(settings.request, events);
	if (trace === undefined) {
		output.problem(`there are no events of the request ${settings.request}`);
		return 1;
	}

	if (settings.output === '') {
		for (const line of drawText(trace)) {
			output.line(line);
		}
	} else {
		await writeFile(settings.output, settings.output.endsWith('.svg') ? drawSvg(trace) : drawHtml(trace));
		output.line(`${settings.output}: ${trace.steps.length} events`);
	}

	return 0;
}

async function loadEvents({collector, file}: TimelineSettings, filter: EventFilter): Promise<{events: SavedEvents['events']; problems: string[]}> {
	if (file !== '') {
		const {events, badLines} = await readSavedEvents(file, filter);
		const shown = badLines.slice(0, 10).join(', ');
		return {events, problems: badLines.length === 0 ? [] : [`${file}: ${badLines.length} lines are not events: ${shown}`]};
	}

	const events: SavedEvents['events'] = [];
	const problems: string[] = [];
	for await (const reply of readCollector(collector, {query: filter, follow: false})) {
		events.push(...reply.events);
		problems.push(...reply.missing.map(item => formatMissing(item)));
	}

	return {events, problems};
}

function filterOf(settings: TimelineSettings): EventFilter {
	const {
		request, workspace, endpoint, instance, dataCentre, kind,
	} = settings;
	return {
		request, workspace, endpoint, instance, dataCentre, kinds: kind.split(',').filter(Boolean),
	};
}

function formatMissing({instance, program, dropped, lost}: MissingEvents): string {
	return `missing: ${instance} (${program}): ${dropped} events dropped there, ${lost} lost on the way`;
}
