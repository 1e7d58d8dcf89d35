/**
 * Sends messages of the replicated log to the other control instances: in order, many in one call, and dropped when a
 * peer doesn't answer, since the log itself repeats what matters.
 */

import type {TRPCClient} from '@trpc/client';
import {createRpcClient} from 'mastvalve-http';
import {getInstanceName, type Message} from 'mastvalve-replication';
import type {HybridClock} from 'mastvalve-utils';
import type {ControlRouter} from './control-router.js';

/** Messages that may wait for one peer; more are dropped. */
const maxWaiting = 1000;
const deliverTimeoutMs = 2000;

/** The way to one peer. */
class PeerChannel {
	private waiting: Message[] = [];
	private isSending = false;

	constructor(readonly client: TRPCClient<ControlRouter>) {}

	send(message: Message): void {
		if (this.waiting.length < maxWaiting) {
			this.waiting.push(message);
		}

		if (!this.isSending) {
			void this.sendWaiting();
		}
	}

	private async sendWaiting(): Promise<void> {
		this.isSending = true;
		while (this.waiting.length > 0) {
			const messages = this.waiting;
			this.waiting = [];
			// The order within one channel is kept by waiting for each call.
			// eslint-disable-next-line no-await-in-loop
			await this.client.replication.deliver.mutate(messages, {signal: AbortSignal.timeout(deliverTimeoutMs)}).catch(() => undefined);
		}

		this.isSending = false;
	}
}

/** The ways to all peers. */
export class PeerTransport {
	private readonly channels: Map<string, PeerChannel>;

	/** URLs of the peers by instance name. */
	constructor(peerUrls: ReadonlyMap<string, string>, clock: HybridClock) {
		this.channels = new Map([...peerUrls].map(([name, url]) => [name, new PeerChannel(createRpcClient<ControlRouter>(url, clock))]));
	}

	/** Clients of the peers. */
	get clients(): Array<TRPCClient<ControlRouter>> {
		return [...this.channels.values()].map(channel => channel.client);
	}

	send(message: Message): void {
		this.channels.get(getInstanceName(message.to))?.send(message);
	}
}
