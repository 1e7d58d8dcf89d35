/**
 * Sends messages of the replicated log to other replicas, whose addresses are part of their identities.
 *
 * Each peer has one call in flight, which carries a batch of the pending messages, so that messages keep their order. While
 * a peer is unreachable only the newest messages stay pending, since the log resends what was lost.
 */

import {
	estimateEntrySize, MessageKind, getInstanceName, takeUpToSize, type Message,
} from 'mastvalve-replication';
import type {PeerClient} from './peer-client.js';

/** Maximum number of pending messages per peer. */
const maxPendingMessages = 64;
/** A peer that transfers no byte for this long is called over a new connection, ms; about an election timeout. */
const callIdleTimeoutMs = 700;

type PeerQueue = {pending: Message[]; isSending: boolean};

/** Drops the oldest pending messages of a peer beyond the limit. */
export const keepNewest = (pending: readonly Message[]): Message[] => pending.slice(-maxPendingMessages);

/** Log bytes per call, except for a single larger message: a peer reads the whole body of a call before it processes it. */
const maxBatchBytes = 524_288;

/** A snapshot counts as a whole call, since it may hold the largest configuration; it isn't encoded for measuring. */
const estimateMessageBytes = (message: Message): number => {
	if (message.kind === MessageKind.SnapshotRequest) {
		return maxBatchBytes;
	}

	return message.kind === MessageKind.AppendRequest ? message.entries.reduce((sum, entry) => sum + estimateEntrySize(entry), 0) : 0;
};

/** Returns the messages of the next call. */
export const takeBatch = (pending: readonly Message[]): Message[] => takeUpToSize(pending, estimateMessageBytes, maxBatchBytes);

export class LogTransport {
	private readonly queues = new Map<string, PeerQueue>();

	constructor(private readonly client: PeerClient) {}

	/** Queues a message; delivery is not guaranteed. */
	send(message: Message): void {
		const address = getInstanceName(message.to);
		const queue = this.queues.get(address) ?? {pending: [], isSending: false};
		this.queues.set(address, queue);
		queue.pending = keepNewest([...queue.pending, message]);
		if (!queue.isSending) {
			void this.sendPending(address, queue);
		}
	}

	private async sendPending(address: string, queue: PeerQueue): Promise<void> {
		queue.isSending = true;
		while (queue.pending.length > 0) {
			const body = takeBatch(queue.pending);
			queue.pending = queue.pending.slice(body.length);
			// Sequential calls keep the order. A failed call is not retried: the timers of the log resend its messages.
			// eslint-disable-next-line no-await-in-loop
			await this.client.call({
				address, path: '/log', body, idleTimeoutMs: callIdleTimeoutMs,
			});
		}

		queue.isSending = false;
	}
}
