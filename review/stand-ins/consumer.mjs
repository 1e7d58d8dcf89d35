/**
 * Requests of consumers, each on a channel of its own.
 */

import {randomBytes} from 'node:crypto';
import {request} from 'node:http';

export const createAttemptId = () => randomBytes(8).toString('hex');

/** Sends a request; resolves to what the consumer has seen: `isWhole` tells an answer that ended as announced, status 0 that there was none.
 * The consumer's channel breaks when `mustBreak` holds for the body so far. */
export const send = async ({
	address, host, path, method = 'POST', headers = {}, body = '', attemptId = createAttemptId(), deadlineMs, mustBreak = () => false,
}) => new Promise(resolve => {
	const [ip, port] = address.split(':');
	const req = request({
		host: ip, port, method, path, agent: false, headers: {
			host, 'attempt-id': attemptId, 'deadline-ms': String(deadlineMs), 'content-length': body.length, ...headers,
		},
	});
	const none = {
		attemptId, status: 0, headers: {}, body: '', isWhole: false,
	};
	const timer = setTimeout(() => {
		req.destroy();
	}, deadlineMs);
	req.once('response', res => {
		let text = '';
		res.on('data', chunk => {
			text += chunk.toString('latin1');
			if (mustBreak(text)) {
				req.destroy();
			}
		});
		res.once('error', () => undefined);
		res.once('close', () => {
			clearTimeout(timer);
			resolve({
				attemptId, status: res.statusCode, headers: res.headers, body: text, isWhole: res.complete,
			});
		});
	});
	req.on('error', () => undefined);
	req.once('close', () => {
		clearTimeout(timer);
		if (!req.res) {
			resolve(none);
		}
	});
	req.end(body);
});
