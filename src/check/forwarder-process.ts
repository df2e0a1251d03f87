/**
 * A process at the address of an endpoint of a check, to which it forwards bytes: the check stops this process as a whole, and
 * new connections meet the queue of a process that is really stopped.
 *
 * Arguments: `IP:port` at which it listens, `IP:port` of the endpoint, and how many connections may wait to be accepted. On
 * SIGUSR2 it stops listening and prints a line; it listens again once it is continued.
 */
import process from 'node:process';
import {EndpointLink} from './endpoint-link.js';

const keepAliveMilliseconds = 60_000;
const [address = '', target = '', backlog = ''] = process.argv.slice(2);
const [ip = '', port = ''] = address.split(':');
const link = new EndpointLink(target);
let isListening = true;

async function listen(): Promise<void> {
	await link.listen(ip, Number(port), Number(backlog));
}

async function refuse(): Promise<void> {
	await link.refuse();
	isListening = false;
	console.log('{"listening":false}');
}

process.on('SIGUSR2', () => {
	void refuse();
});
process.on('SIGCONT', () => {
	if (!isListening) {
		isListening = true;
		void listen();
	}
});
await listen();
// Without a listener and a connection, the process would end.
setInterval(() => {
	// It only keeps the process running.
}, keepAliveMilliseconds);
console.log('{"listening":true}');
