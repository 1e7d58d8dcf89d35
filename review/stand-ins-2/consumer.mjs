/**
 * A stand-in consumer: sends requests on new channels, and tells of each answer what a consumer can see.
 */

import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {request} from 'node:http';

export const createAttemptId = () => randomBytes(8).toString('hex');

/** Sends one request. `isComplete` is whether the answer ended as the protocol lets a whole one end. */
export const send = async ({address, method = 'GET', path, host, attempt = createAttemptId(), headers = {}, deadlineMs = 5000, body}) => new Promise(resolve => {
	const [ip, port] = address.split(':');
	const req = request({
		host: ip, port, method, path, agent: false, setHost: false, headers: {
			Host: host, 'Attempt-Id': attempt, 'Deadline-Ms': deadlineMs, ...(body === undefined ? {} : {'Content-Length': Buffer.byteLength(body)}), ...headers,
		},
	});
	const timer = setTimeout(() => {
		req.destroy();
	}, deadlineMs + 500);
	const settle = answer => {
		clearTimeout(timer);
		resolve({attempt, ...answer});
	};

	req.on('error', error => {
		settle({
			status: 0, isComplete: false, text: '', error: error.code ?? error.message,
		});
	});
	req.once('response', res => {
		const chunks = [];
		res.on('data', chunk => chunks.push(chunk));
		res.on('error', () => undefined);
		res.once('close', () => {
			settle({
				status: res.statusCode, isComplete: res.complete, text: Buffer.concat(chunks).toString(), stamp: res.headers['response-stamp'], headers: res.headers,
			});
		});
	});
	req.end(body);
});
