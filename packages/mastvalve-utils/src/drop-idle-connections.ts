/**
 * Closes idle keep-alive connections. Established connections can stop delivering data without a reset while new ones
 * work, so when one of them does not answer, the other pooled connections to the same address must not be reused.
 */

import type {Agent} from 'node:http';

/** Closes the agent's idle connections to `address`, given as `ip:port`. */
export const dropIdleConnections = (agent: Agent, address: string): void => {
	const [host = '', port] = address.split(':');
	const name = agent.getName({host, port: Number(port)});
	[...(agent.freeSockets[name] ?? [])].forEach(socket => {
		socket.destroy();
	});
};
