/**
 * An endpoint that answers with the exact bytes that a test provides.
 */

import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {assumeType} from 'mastvalve-utils';

/** Handles a complete request; the number counts the requests to the endpoint from 1. */
export type Script = (socket: Socket, requestText: string, requestNumber: number) => void;

/** A running endpoint; `connections` counts all connections so far, and `open` the open ones. */
export type ScriptedEndpoint = {address: string; requests: string[]; connections: () => number; open: () => number; resetConnections: () => void; /** Accepts no further connections; the open ones stay. */ stopListening: () => void; /** Listens again at its address. */ listenAgain: () => Promise<void>; close: () => void};

const headEnd = '\r\n\r\n';

/** Whether the head and the announced body are complete. */
const isWhole = (text: string): boolean => {
	const at = text.indexOf(headEnd);
	const length = Number(/content-length: (?<length>\d+)/iv.exec(text)?.groups?.length ?? 0);
	return at !== -1 && text.length >= at + headEnd.length + length;
};

/** Starts an endpoint; port 0 selects a free one. */
export const startScriptedEndpoint = async (script: Script, port = 0): Promise<ScriptedEndpoint> => {
	const requests: string[] = [];
	const sockets = new Set<Socket>();
	let connections = 0;
	const server: Server = createServer(socket => {
		connections += 1;
		sockets.add(socket);
		let text = '';
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			if (isWhole(text)) {
				requests.push(text);
				const whole = text;
				text = '';
				script(socket, whole, requests.length);
			}
		});
	});
	const listen = async (at: number): Promise<void> => new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(at, '127.0.0.1', resolve);
	});
	await listen(port);
	const {port: ownPort} = assumeType<AddressInfo>(server.address());
	return {
		address: `127.0.0.1:${ownPort}`,
		requests,
		connections: () => connections,
		open: () => sockets.size,
		resetConnections() {
			sockets.forEach(socket => {
				socket.resetAndDestroy();
			});
		},
		stopListening() {
			server.close();
		},
		listenAgain: async () => listen(ownPort),
		close() {
			server.close();
			sockets.forEach(socket => {
				socket.destroy();
			});
		},
	};
};

/** Returns the request id in the tests' dialect. */
export const idOf = (requestText: string): string => /x-id: (?<id>\S+)/iv.exec(requestText)?.groups?.id ?? '';

/** Formats a complete answer with a length. */
export const formatAnswer = (id: string, body: string, status = '200 OK', more = ''): string =>
	`HTTP/1.1 ${status}\r\nx-id: ${id}\r\ncontent-length: ${body.length}\r\n${more}\r\n${body}`;
