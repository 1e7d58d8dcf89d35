/**
 * Closes kept connections that rest. Open connections may go silent while new ones work, without a reset: when one of
 * them does not answer, the others to the same address are not used again.
 */

import type {Agent} from 'node:http';

/** Closes those to `ip:port`. */
export const dropIdleConnections = (agent: Agent, address: string): void => {
	const [host = '', port] = address.split(':');
	const name = agent.getName({host, port: Number(port)});
	[...(agent.freeSockets[name] ?? [])].forEach(socket => {
		socket.destroy();
	});
};
