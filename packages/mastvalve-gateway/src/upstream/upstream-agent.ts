/**
 * Keep-alive connections to endpoints, with the budget for relaying what comes on them. An idle connection that receives any byte is closed, since that byte would be read as the
 * response to the next request. Idle connections are closed before the keep-alive timeout that their endpoint announces.
 */

import {Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {assumeType} from 'mastvalve-utils';
import {RelayBudget} from './relay-budget.js';

/** Idle timeout for endpoints that announce no keep-alive timeout, ms; shorter than any keep-alive timeout observed. */
const defaultIdleTimeoutMs = 4000;
/** Fraction of the announced keep-alive timeout after which an idle connection is closed, so that this side closes first. */
const keepAliveShare = 0.85;
const msPerSecond = 1000;

const closeOnData = function (this: Duplex): void {
	this.destroy();
};

export class UpstreamAgent extends Agent {
	readonly relayBudget = new RelayBudget();
	/** Idle timeouts derived from the `Keep-Alive` header, by connection. */
	private readonly idleTimeoutsMs = new WeakMap<Duplex, number>();

	constructor() {
		super({keepAlive: true, scheduling: 'lifo', timeout: defaultIdleTimeoutMs});
	}

	/** Records the keep-alive timeout that a response announces for its connection. */
	recordKeepAlive({socket, headers}: IncomingMessage): void {
		const seconds = Number(/timeout=(?<seconds>\d+)/v.exec(String(headers['keep-alive']))?.groups?.seconds ?? Number.NaN);
		if (Number.isFinite(seconds)) {
			this.idleTimeoutsMs.set(socket, seconds * msPerSecond * keepAliveShare);
		}
	}

	/** Called by Node when a connection becomes idle; returns whether to keep it. */
	// Node's type declarations omit that the return value is used.
	// eslint-disable-next-line @typescript-eslint/strict-void-return
	override keepSocketAlive(socket: Duplex): boolean {
		const isKept = assumeType<(socket: Duplex) => boolean>(super.keepSocketAlive).call(this, socket);
		if (isKept) {
			assumeType<Socket>(socket).setTimeout(this.idleTimeoutsMs.get(socket) ?? defaultIdleTimeoutMs);
			socket.on('data', closeOnData);
		}

		return isKept;
	}

	/** Called by Node before an idle connection is used for the next request. */
	override reuseSocket(socket: Duplex, req: ClientRequest): void {
		socket.off('data', closeOnData);
		super.reuseSocket(socket, req);
	}
}
