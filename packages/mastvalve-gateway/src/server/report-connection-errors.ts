/**
 * Reports what Node's HTTP server answers by itself on a caller's connection: it is asked for no request, and no line of a request tells of it.
 */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {describeError} from 'mastvalve-utils';
import type {GatewayCore} from './gateway-core.js';
import {onceClosed} from './once-closed.js';

/** Statuses that Node's HTTP server gives to errors of a connection; it gives 400 to all others. */
const statuses = new Map([['ERR_HTTP_REQUEST_TIMEOUT', 408], ['HPE_HEADER_OVERFLOW', 431], ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413]]);
const badRequest = 400;

/** Answers as Node's HTTP server does where nobody listens to its errors: the status goes out unless the head of an answer has. */
const answerAsNode = (socket: Socket, status: number, unanswered: Iterable<ServerResponse>): boolean => {
	const isAnswered = socket.writable && ![...unanswered].some(({headersSent}) => headersSent);
	if (isAnswered) {
		socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
	}

	socket.destroy();
	return isAnswered;
};

/** Logs and counts the errors of callers' connections with the requests that are unanswered there. */
export const reportConnectionErrors = (server: Server, core: GatewayCore): void => {
	const unanswered = new WeakMap<Socket, Map<ServerResponse, string | undefined>>();
	server.on('request', (req: IncomingMessage, res: ServerResponse) => {
		const requests = unanswered.get(req.socket) ?? new Map<ServerResponse, string | undefined>();
		unanswered.set(req.socket, requests.set(res, core.dialect.parseCallerHeaders(req.headers).requestId));
		onceClosed(req, res, () => {
			requests.delete(res);
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		const requests = unanswered.get(socket) ?? new Map<ServerResponse, string | undefined>();
		const code = error.code ?? 'unknown';
		const status = statuses.get(code) ?? badRequest;
		const isAnswered = answerAsNode(socket, status, requests.keys());
		core.observer.recordConnectionError(code, requests.size > 0);
		core.log('connection.failed', {
			code, reason: describeError(error), status: isAnswered ? status : 0, requests: [...requests.values()],
		});
	});
};
