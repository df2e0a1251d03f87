/** The operators' HTTP routes, which have their own address and their own key. */
import {Buffer} from 'node:buffer';
import {
	getQuery, H3, HTTPError, type H3Event,
} from 'h3';
import {readChangesAfter, readHead} from '../../protocol/configuration/configuration-table.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';
import {answerStatement} from './answer-statement.js';
import {operatorKeyCheck} from './operator-key-check.js';
import {catchUp, proposeChange} from './propose-change.js';

const statusOfFailure = {
	'bad-proposal': 400, overtaken: 409, unavailable: 503, 'outcome-unknown': 502,
} as const;
const bodyLimitBytes = 8_388_608;

/**
 * Creates the operators' routes.
 *
 * @param context - The entry.
 * @param peers - The entry's view of its peers.
 * @returns The application, to be served at the operators' address.
 */
export function createOperatorRoutes(context: EntryContext, peers: Pick<EntryPeers, 'overview'>): H3 {
	const app = new H3();
	const isOperator = operatorKeyCheck(context.settings.operatorKey);
	app.use(event => {
		if (!isOperator(event.req.headers.get('authorization') ?? undefined)) {
			throw new HTTPError({status: 401, message: 'the operators\' key is needed'});
		}
	});
	addConfigurationRoutes(app, context);
	app.post('/operator/ask', async event => {
		const answer = await answerStatement(context, peers, await readJsonBody(event));
		event.res.status = answer.kind === 'error' ? 400 : 200;
		return answer;
	});
	app.get('/operator/peers', () => peers.overview());
	return app;
}

function addConfigurationRoutes(app: H3, context: EntryContext): void {
	app.get('/operator/configuration', async event => {
		const isNewest = getQuery(event).newest === 'true' && await catchUp(context);
		const {
			version, digest, workspaces, services, rules, limits, drains,
		} = context.configuration.state;
		return {
			version, digest, isNewest, workspaces: [...workspaces.values()], services: [...services.values()], rules: [...rules.values()], limits: [...limits.values()], drains: [...drains.values()],
		};
	});
	app.get('/operator/configuration/head', async event => {
		const head = await readHead(context.table);
		event.res.status = head.isLeft() ? 503 : 200;
		return head.extract();
	});
	app.get('/operator/configuration/changes', async event => {
		const after = Number(getQuery(event).after ?? 0);
		if (!Number.isSafeInteger(after) || after < 0) {
			throw new HTTPError({status: 400, message: 'after must be a version'});
		}

		const changes = await readChangesAfter(context.table, after);
		event.res.status = changes.isLeft() ? 503 : 200;
		return {changes: changes.orDefault([])};
	});
	app.post('/operator/configuration/changes', async event => {
		const accepted = await proposeChange(context, await readJsonBody(event));
		return accepted.caseOf<unknown>({
			Left(failure) {
				event.res.status = statusOfFailure[failure.kind];
				return failure;
			},
			Right(change) {
				event.res.status = 201;
				return change;
			},
		});
	});
}

/**
 * Reads a JSON body up to a limit.
 *
 * @param event - The exchange.
 * @returns The parsed value.
 * @throws An `HTTPError` with status 413 if the body is too long, or 400 if it is cut off or not valid JSON.
 */
export async function readJsonBody(event: H3Event): Promise<unknown> {
	const body = await readBytes((event.req.body ?? []) as AsyncIterable<Uint8Array>);
	try {
		return JSON.parse(body.toString('utf8')) as unknown;
	} catch {
		throw new HTTPError({status: 400, message: 'the body is no JSON'});
	}
}

async function readBytes(body: AsyncIterable<Uint8Array>): Promise<Buffer> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of body) {
			length += chunk.length;
			if (length > bodyLimitBytes) {
				throw new HTTPError({status: 413, message: `the body is longer than ${bodyLimitBytes} bytes`});
			}

			chunks.push(chunk);
		}
	} catch (error) {
		// H3 writes any other error to the standard error output, within the lines of the log.
		throw HTTPError.isError(error) ? error : new HTTPError({status: 400, message: 'the body was cut off'});
	}

	return Buffer.concat(chunks);
}
