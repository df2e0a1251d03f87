/**
 * A process at the address of an endpoint of a check, to which it forwards bytes: the check stops this process as a whole, and
 * new connections meet the queue of a process that is really stopped.
 *
 * Arguments: `IP:port` at which it listens, `IP:port` of the endpoint, how many connections may wait to be accepted, whether it
 * is to `refuse` or to `reset` new connections from SIGUSR2, on which it prints a line, until it is continued, and how many
 * connections it has at most; it resets others.
 */
import process from 'node:process';
import {EndpointLink} from './endpoint-link.js';

const keepAliveMilliseconds = 60_000;
const [address = '', target = '', backlog = '', rejection = '', limit = ''] = process.argv.slice(2);
const [ip = '', port = ''] = address.split(':');
const link = new EndpointLink(target);
let isRejecting = false;

async function listen(): Promise<void> {
	await link.listen(ip, Number(port), Number(backlog));
}

async function reject(): Promise<void> {
	if (rejection === 'reset') {
		link.limitConnections(0);
	} else {
		await link.refuse();
	}

	isRejecting = true;
	console.log('{"rejecting":true}');
}

process.on('SIGUSR2', () => {
	void reject();
});
process.on('SIGCONT', () => {
	if (!isRejecting) {
		return;
	}

	isRejecting = false;
	if (rejection === 'reset') {
		link.limitConnections(Number(limit));
	} else {
		void listen();
	}
});
link.limitConnections(Number(limit));
await listen();
// Without a listener and a connection, the process would end.
setInterval(() => {
	// It only keeps the process running.
}, keepAliveMilliseconds);
console.log('{"listening":true}');
