/**
 * A stand-in replica of a service without models, as a process of its own. Its answers come in pieces. While it is told so, one in `unframedEvery` carries no
 * length and finishes when its channel does, as the rule MIXED allows; the others have a length or chunks. Every start is a new boot with a new id.
 */

import {createServer} from 'node:http';
import process from 'node:process';
import {Registration} from './registration.mjs';

const {id, service, address, controls, pieces, pieceBytes, gapMs, isStream, unframedEvery} = JSON.parse(process.env.REPLICA);
const [host, port] = address.split(':');
const tell = message => process.send?.(message);

const formatPiece = (attempt, index) => (isStream
	? `id: ${index}\ndata: ${attempt} ${index}\n\n`
	: `${`${attempt} ${index} `.padEnd(pieceBytes - 1, '.')}\n`);

let answers = 0;
let mayBeUnframed = false;
process.on('message', message => {
	mayBeUnframed = message.mayBeUnframed;
});

/** Returns the headers that frame the next answer, and whether it is one without a length. */
const frameNext = attempt => {
	answers += mayBeUnframed ? 1 : 0;
	if (mayBeUnframed && answers % unframedEvery === unframedEvery - 5) {
		return {isUnframed: true, headers: {Connection: 'close'}};
	}

	return {isUnframed: false, headers: isStream ? {'Transfer-Encoding': 'chunked'} : {'Content-Length': pieces * formatPiece(attempt, 0).length}};
};

const server = createServer((req, res) => {
	if (req.url === '/health') {
		res.writeHead(200, {'Instance-Id': id, 'Content-Length': 0});
		res.end();
		return;
	}

	const attempt = req.headers['attempt-id'] ?? '';
	const expected = req.headers['expect-instance'];
	if (expected !== undefined && expected !== id) {
		res.writeHead(421, {
			'Attempt-Id': attempt, 'Instance-Id': id, 'Not-Executed': '1', 'Content-Length': 0,
		});
		res.end();
		return;
	}

	const {isUnframed, headers} = frameNext(attempt);
	tell({
		kind: 'runs', attempt, id, isUnframed,
	});
	req.resume();
	res.useChunkedEncodingByDefault = false;
	res.writeHead(200, {
		'Attempt-Id': attempt, 'Response-Stamp': `${id}.${attempt}`, 'Content-Type': isStream ? 'text/event-stream' : 'application/octet-stream', ...headers,
	});
	let index = 0;
	const timer = setInterval(() => {
		res.write(formatPiece(attempt, index));
		index += 1;
		if (index === pieces) {
			clearInterval(timer);
			tell({kind: 'answered', attempt, id});
			res.end();
		}
	}, gapMs);
	res.once('close', () => {
		clearInterval(timer);
	});
});
server.listen(Number(port), host, () => {
	tell({kind: 'listens', id});
	const registration = new Registration({
		id, controls, describe: () => ({
			service, address, zone: 'hala-a', version: 'v1', slots: 64, state: 'ready', 'cold-left-ms': 0,
		}),
	});
	registration.run();
});
process.once('disconnect', () => {
	process.exit(0);
});
