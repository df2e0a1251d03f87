/**
 * Loaded into an instance's process by `--import`: its connections to endpoints go through the relays of the check, and while
 * the instance is partitioned new ones are refused or never established.
 *
 * All instances of a check connect from one loopback address, so that an endpoint cannot tell them apart.
 */
import {readFileSync} from 'node:fs';
import {Socket, type NetConnectOpts} from 'node:net';
import process from 'node:process';
import {type LinkState} from './endpoint-link.js';

/** The environment variables with the path of a JSON file of relays by endpoint, and of the file with the state of the links. */
export const relaysVariable = 'SAVORYGAUGE_CHECK_RELAYS';
export const linkStateVariable = 'SAVORYGAUGE_CHECK_LINK_STATE';

/** A port on which nothing listens. */
const closedPort = 1;

type Connect = (this: Socket, ...values: unknown[]) => Socket;

const relaysFile = process.env[relaysVariable];
const stateFile = process.env[linkStateVariable];
if (relaysFile !== undefined && stateFile !== undefined) {
	redirect(JSON.parse(readFileSync(relaysFile, 'utf8')) as Record<string, string>, () => readFileSync(stateFile, 'utf8') as LinkState);
}

function redirect(relays: Record<string, string>, linkState: () => LinkState): void {
	const {prototype} = Socket as unknown as {prototype: {connect: Connect}};
	const {connect} = prototype;
	prototype.connect = function (this: Socket, ...values: unknown[]): Socket {
		const options = optionsOf(values);
		const relay = options === undefined || !('port' in options) ? undefined : relays[`${options.host}:${options.port}`];
		if (options === undefined || relay === undefined) {
			return connect.apply(this, values);
		}

		const state = linkState();
		if (state === 'hang') {
			Object.assign(this, {connecting: true});
			return this;
		}

		const separator = relay.lastIndexOf(':');
		Object.assign(options, {host: relay.slice(0, separator), port: state === 'open' ? Number(relay.slice(separator + 1)) : closedPort});
		return connect.apply(this, values);
	};
}

/** The options of a call to `Socket.connect`, which gets them as such or as Node's normalised list. */
function optionsOf([first]: unknown[]): NetConnectOpts | undefined {
	const options: unknown = Array.isArray(first) ? first[0] : first;
	return typeof options === 'object' && options !== null ? options as NetConnectOpts : undefined;
}
