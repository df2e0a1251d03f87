/** The HTTP client for the control calls of the platform's engines: their report, and orders to change weights. */
import {type Either, Left, Right} from 'purify-ts/Either';
import * as zod from 'zod';
import {describeError, exchangeJson} from '../adapters/http-client.js';
import {type EndpointRecord} from '../shared/endpoint-record.js';
import {
	type EngineControl, type EngineReport, type OrderAnswer, type InFlightPolicy, type WeightOrder,
} from '../ports/engine-control.js';
import {platformWireNames} from './wire-names.js';

/** An engine answers immediately. After this time the call is treated as lost. */
const callTimeoutMilliseconds = 600;

const reportSchema = zod.object({
	busy: zod.boolean(),
	// The number of orders that the engine has accepted.
	seq: zod.number(),
	running: zod.number().default(0),
	models: zod.array(zod.object({name: zod.string(), version: zod.number()})),
});

const wirePolicyNames: Record<InFlightPolicy, string> = {finish: 'wait', cut: 'truncate', keep: 'retain'};

export class PlatformEngineControl implements EngineControl {
	async report({address, name}: EndpointRecord): Promise<Either<string, EngineReport>> {
		try {
			const {status, body} = await exchangeJson({
				method: 'GET', url: `http://${address}/report`, headers: {[platformWireNames.expectedEndpoint]: name}, timeoutMilliseconds: callTimeoutMilliseconds, isShort: true,
			});
			const report = reportSchema.safeParse(body);
			if (status !== 200 || !report.success) {
				return Left(`status ${status}`);
			}

			const {busy, seq, running, models} = report.data;
			return Right({
				isBusy: busy, ordersTaken: seq, runningRequests: running, weightVersions: new Map(models.map(model => [model.name, model.version])),
			});
		} catch (error) {
			return Left(describeError(error));
		}
	}

	async orderWeights({address, name}: EndpointRecord, order: WeightOrder): Promise<OrderAnswer> {
		try {
			const {status} = await exchangeJson({
				method: 'POST',
				url: `http://${address}/order`,
				headers: {[platformWireNames.expectedEndpoint]: name},
				body: {
					op: 'version',
					model: order.model,
					version: order.version,
					manner: wirePolicyNames[order.inFlightPolicy],
					holder: order.holder,
					fence: order.fencingNumber,
					expected_rev: order.ordersTaken,
				},
				timeoutMilliseconds: callTimeoutMilliseconds,
				isShort: true,
			});
			if (status === 202) {
				return 'accepted';
			}

			return status === 200 ? 'holds-already' : 'refused';
		} catch {
			// It is unknown whether the order arrived; the caller finds out from the engine's report.
			return 'unknown';
		}
	}
}
