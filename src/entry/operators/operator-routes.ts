/** The operators' HTTP, on its own address and with its own key. */
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {H3, HTTPError, readBody} from 'h3';
import {
	acceptProposal, type ConfigurationProposal, readChangesAfter, readHead,
} from '../../protocol/configuration/configuration-table.js';
import {digestOf} from '../../shared/digest-of.js';
import {type EntryContext} from '../entry-context.js';
import {type EntryPeers} from '../peers/entry-peers.js';

const statusOfFailure = {overtaken: 409, unavailable: 503, 'outcome-unknown': 502} as const;

/**
 * Makes the operators' routes.
 *
 * @param context - The entry.
 * @param peers - The entry among its peers.
 * @returns The application, to be served on the operators' address.
 */
export function createOperatorRoutes(context: EntryContext, peers: EntryPeers): H3 {
	const app = new H3();
	const expected = Buffer.from(digestOf(`Bearer ${context.settings.operatorKey}`));
	app.use(event => {
		const given = Buffer.from(digestOf(event.req.headers.get('authorization') ?? ''));
		if (!timingSafeEqual(expected, given)) {
			throw new HTTPError({status: 401, message: 'the operators\' key is needed'});
		}
	});
	app.get('/operator/configuration', () => {
		const {
			version, digest, workspaces, services, rules, limits,
		} = context.configuration.state;
		return {
			version, digest, workspaces: [...workspaces.values()], services: [...services.values()], rules: [...rules.values()], limits: [...limits.values()],
		};
	});
	app.get('/operator/configuration/head', async event => {
		const head = await readHead(context.table);
		event.res.status = head.isLeft() ? 503 : 200;
		return head.extract();
	});
	app.get('/operator/configuration/changes', async event => {
		const changes = await readChangesAfter(context.table, 0);
		event.res.status = changes.isLeft() ? 503 : 200;
		return {changes: changes.orDefault([])};
	});
	app.post('/operator/configuration/changes', async event => {
		const proposal = (await readBody<ConfigurationProposal>(event))!;
		const accepted = await acceptProposal(context.table, proposal, context.clock.now());
		return accepted.caseOf<unknown>({
			Left(failure) {
				event.res.status = statusOfFailure[failure.kind];
				return failure;
			},
			Right(change) {
				context.configuration.offer(change);
				event.res.status = 201;
				return change;
			},
		});
	});
	app.get('/operator/peers', () => peers.overview());
	return app;
}
