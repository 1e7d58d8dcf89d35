/**
 * Kept connections to endpoints. A connection is used again only while it is provably clean: any byte that arrives
 * while nobody waits for an answer closes it.
 */

import {Agent, type ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';
import {assumeType} from 'mastvalve-utils';

/** Connections that rest longer are closed, ms; shorter than any endpoint has been seen to keep them. */
const idleMs = 4000;

const closeOnData = function (this: Duplex): void {
	this.destroy();
};

/** The agent of all connections to endpoints. */
export class UpstreamAgent extends Agent {
	constructor() {
		super({keepAlive: true, scheduling: 'lifo', timeout: idleMs});
	}

	/** Node asks whether a connection that has become free may be kept. */
	// Node's types hide that the result counts.
	// eslint-disable-next-line @typescript-eslint/strict-void-return
	override keepSocketAlive(socket: Duplex): boolean {
		// The base class honours the time that the endpoint gives in its keep-alive header; its type hides the result.
		const kept = assumeType<(socket: Duplex) => boolean>(super.keepSocketAlive).call(this, socket);
		if (kept) {
			socket.on('data', closeOnData);
		}

		return kept;
	}

	/** Node takes a kept connection for the next request. */
	override reuseSocket(socket: Duplex, req: ClientRequest): void {
		socket.off('data', closeOnData);
		super.reuseSocket(socket, req);
	}
}
