import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {waitUntil} from '../test/wait-until.js';
import {completeAnswers} from '../test/steered-caller.js';
import {afterNextPoll} from './after-next-poll.js';
import {HttpListener} from './http-listener.js';

const requestBytes = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

test('a request that crosses the close of its connection in a drain is not handled', async () => {
	// Guards against requests that are sent on, and whose connection then ends without an answer.
	const responses: ServerResponse[] = [];
	const listener = new HttpListener('front', (_request, response) => {
		responses.push(response);
		response.writeHead(200);
		response.write('part');
	}, '127.0.0.1:0');
	const address = await listener.listen();
	const [host = '', port = ''] = address.split(':');
	const caller = connect({host, port: Number(port), allowHalfOpen: true});
	let received = '';
	caller.setEncoding('utf8').on('data', (chunk: string) => {
		received += chunk;
	});
	caller.write(requestBytes);
	await waitUntil(() => responses.length === 1);
	const drained = listener.drain();
	await afterNextPoll();
	responses[0]?.end();
	// A caller that has not read the close yet sends its next request like this one.
	await once(caller, 'end');
	caller.end(requestBytes);
	await drained;
	assert.equal(responses.length, 1);
	assert.equal(completeAnswers(received).length, 1);
});
