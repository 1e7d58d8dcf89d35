/**
 * Free ports on loopback, so that scenarios never meet a port in use.
 */

import {createServer, type Server} from 'node:net';

const listen = async (): Promise<Server> =>
	new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	});

const portOf = (server: Server): number => {
	const address = server.address();
	return typeof address === 'object' && address ? address.port : 0;
};

/** So many different free ports. */
export const findFreePorts = async (count: number): Promise<number[]> => {
	const servers = await Promise.all(Array.from({length: count}, listen));
	const ports = servers.map(portOf);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
};

/** A text with every loopback port replaced by a free one, the same for the same. */
export const remapPorts = async (text: string): Promise<string> => {
	const found = [...new Set(text.match(/127\.0\.0\.1:\d+/gv))];
	const ports = await findFreePorts(found.length);
	return found.reduce((mapped, address, index) => mapped.replaceAll(`"${address}"`, `"@${index}"`).replaceAll(`//${address}"`, `//@${index}"`), text)
		.replaceAll(/@(?<index>\d+)"/gv, (_match, index: string) => `127.0.0.1:${ports[Number(index)] ?? 0}"`);
};
