/**
 * Kept connections to endpoints. A connection is used again only while it is provably clean: any byte that arrives
 * while nobody waits for an answer closes it. It rests for less time than the endpoint says that it keeps it.
 */

import {Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {assumeType} from 'mastvalve-utils';

/** Connections whose endpoint does not say how long it keeps them rest this long, ms; shorter than any was seen to be kept. */
const idleMs = 4000;
/** Part of the time that an endpoint tells, so that this side closes first. */
const toldShare = 0.85;
const msPerSecond = 1000;

const closeOnData = function (this: Duplex): void {
	this.destroy();
};

/** The agent of all connections to endpoints. */
export class UpstreamAgent extends Agent {
	/** How long a connection may rest, as its endpoint told, ms. */
	private readonly told = new WeakMap<Duplex, number>();

	constructor() {
		super({keepAlive: true, scheduling: 'lifo', timeout: idleMs});
	}

	/** Takes note of the time for which an endpoint keeps a connection. */
	noteAnswer({socket, headers}: IncomingMessage): void {
		const seconds = Number(/timeout=(?<seconds>\d+)/v.exec(String(headers['keep-alive']))?.groups?.seconds ?? Number.NaN);
		if (Number.isFinite(seconds)) {
			this.told.set(socket, seconds * msPerSecond * toldShare);
		}
	}

	/** Node asks whether a connection that has become free may be kept. */
	// Node's types hide that the result counts.
	// eslint-disable-next-line @typescript-eslint/strict-void-return
	override keepSocketAlive(socket: Duplex): boolean {
		const isKept = assumeType<(socket: Duplex) => boolean>(super.keepSocketAlive).call(this, socket);
		if (isKept) {
			assumeType<Socket>(socket).setTimeout(this.told.get(socket) ?? idleMs);
			socket.on('data', closeOnData);
		}

		return isKept;
	}

	/** Node takes a kept connection for the next request. */
	override reuseSocket(socket: Duplex, req: ClientRequest): void {
		socket.off('data', closeOnData);
		super.reuseSocket(socket, req);
	}
}
