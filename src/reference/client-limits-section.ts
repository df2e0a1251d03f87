/** Generates the section of docs/SETTINGS.md on the limits for clients, with the values that the programs use. */
import {bodyGraceMilliseconds, minBytesPerSecond} from '../decision/arrivals/arrival-due.js';
import {connectionCapacityOf} from '../decision/arrivals/connection-capacity.js';
import {readsPerTurn, turnMilliseconds} from '../decision/arrivals/turn-budget.js';
import {longBodyBytes, longBodyShare} from '../decision/memory/held-bytes.js';
import {memoryLimitsOf} from '../decision/memory/memory-limits.js';
import {defaultMaxConnections, headGraceMilliseconds, idleGraceMilliseconds} from '../serving/caller-connections.js';

const bytesPerMegabyte = 1_048_576;
const exampleMegabytes = 272;
const exampleDescriptors = 2069;

type LimitRow = {limit: string; setBy: string; value: string; effect: string; counter: string; line: string};

function rows(): LimitRow[] {
	const {bodyBytes} = memoryLimitsOf(exampleMegabytes * bytesPerMegabyte);
	const memory = '`limits.memory_mb` of the settings file, `--memory-megabytes`';
	const memoryCounter = '`savorygauge_memory_outcomes_total`, `savorygauge.memory.outcome`';
	const descriptors = '`limits.max_fds` of the settings file, `--max-descriptors`';
	const connectionCounter = '`savorygauge_connection_outcomes_total`, `savorygauge.connection.limited`';
	return [
		{
			limit: 'bytes of request bodies together',
			setBy: memory,
			value: `${Math.floor(bodyBytes / bytesPerMegabyte)} MiB of ${exampleMegabytes}; one body alone is always taken`,
			effect: `503 \`memory-limit\`; before, bodies that stand still are refused: no byte for ${bodyGraceMilliseconds} ms, or less than ${minBytesPerSecond} bytes a second`,
			counter: memoryCounter,
			line: '`request-refused`, reason `memory-limit`',
		},
		{
			limit: `bytes of bodies over ${longBodyBytes} bytes together`,
			setBy: memory,
			value: `${Math.round(100 * longBodyShare)}% of the above`,
			effect: 'the same',
			counter: memoryCounter,
			line: 'the same',
		},
		{
			limit: 'connections of callers, and those to endpoints for their requests',
			setBy: descriptors,
			value: `${connectionCapacityOf(exampleDescriptors)} of ${exampleDescriptors} descriptors; ${defaultMaxConnections} on other listeners`,
			effect: `connections are closed for new ones: first those without a request after ${headGraceMilliseconds} ms and those whose body stands still, then idle ones after ${idleGraceMilliseconds} ms; if all are in use, a new one is closed, or its request gets 503 \`connection-limit\``,
			counter: connectionCounter,
			line: '`connection-limited`, `callers are limited`',
		},
		{
			limit: 'time for what arrives, in a turn of the event loop',
			setBy: 'fixed',
			value: `${turnMilliseconds} ms; then ${readsPerTurn} connections are read again in each turn`,
			effect: 'connections are read a part at a time; none is closed',
			counter: '`savorygauge_held_back_total`, `savorygauge.connection.held_back`',
			line: '`connections-held-back`, `callers are limited`',
		},
		{
			limit: 'time until a body has arrived',
			setBy: 'the route\'s timeout and the caller\'s deadline',
			value: 'no later than either',
			effect: '503 `deadline`, and the connection is closed',
			counter: '`savorygauge_refusals_total`',
			line: '`request-refused`, reason `deadline`',
		},
	];
}

/** Returns the lines of the section. */
export function clientLimitsSection(): string[] {
	return [
		'## Limits for clients',
		'',
		'What clients may use before their requests are complete. The gateway takes its limits from the settings file, `savorygauge-entry` from its flags.',
		'Refusals say `not-run` and, where the caller may come back, when.',
		'',
		'| limit | set by | value | beyond it | counter | log line |',
		'|---|---|---|---|---|---|',
		...rows().map(({limit, setBy, value, effect, counter, line}) => `| ${limit} | ${setBy} | ${value} | ${effect} | ${counter} | ${line} |`),
		'',
	];
}
