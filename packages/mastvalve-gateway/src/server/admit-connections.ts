/**
 * Closes the new connections that an entry doesn't take, before anything is read from them.
 */

import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionAdmission} from './connection-admission.js';
import type {GatewayCore} from './gateway-core.js';

/** Minimum interval between two log lines on closed connections, ms. */
const logIntervalMs = 1000;

/** Puts the decision before the server's own handling of new connections. */
export const admitConnections = (server: Server, admission: ConnectionAdmission, core: GatewayCore): void => {
	const listeners = server.listeners('connection');
	let closed = 0;
	let loggedAt = Number.NEGATIVE_INFINITY;
	server.removeAllListeners('connection');
	server.on('connection', (socket: Socket) => {
		if (admission.admit()) {
			core.observer.recordConnection(true);
			listeners.forEach(listener => {
				Reflect.apply(listener, server, [socket]);
			});
			return;
		}

		core.observer.recordConnection(false);
		closed += 1;
		// A reset tells the caller that nothing was read; a regular end might follow an answer.
		socket.resetAndDestroy();
		if (core.clock.now() - loggedAt >= logIntervalMs) {
			core.log('connections.closed', {count: closed, ...admission.read()});
			closed = 0;
			loggedAt = core.clock.now();
		}
	});
};
