/**
 * Carries messages of the replicated log to other replicas, whose addresses are in their identities.
 *
 * One call at a time goes to each peer and takes all that waits, so messages keep their order; while a peer is out of
 * reach only the newest wait, since the log sends again what was lost.
 */

import {
	estimateEntrySize, MessageKind, getInstanceName, takeUpToSize, type Message,
} from 'mastvalve-replication';
import type {PeerClient} from './peer-client.js';

/** Messages that wait for one peer at the most. */
const maxWaiting = 64;
/** A peer with which no byte moves for this long is tried over a new connection, ms. About an election timeout. */
const callSilenceMs = 700;

type Link = {waiting: Message[]; isBusy: boolean};

/** Of messages that wait for one peer, those that go on waiting. */
export const keepNewest = (waiting: readonly Message[]): Message[] => waiting.slice(-maxWaiting);

/** Bytes of the log in one call, beside one message that may be larger: a peer reads a call whole before it acts on it. */
const maxBodyBytes = 524_288;

const estimateMessage = (message: Message): number =>
	(message.kind === MessageKind.AppendRequest ? message.entries.reduce((sum, entry) => sum + estimateEntrySize(entry), 0) : 0);

/** What goes into the next call. */
export const takeBody = (waiting: readonly Message[]): Message[] => takeUpToSize(waiting, estimateMessage, maxBodyBytes);

/** The transport. */
export class LogTransport {
	private readonly links = new Map<string, Link>();

	constructor(private readonly client: PeerClient) {}

	/** Sends a message some time soon, or never. */
	send(message: Message): void {
		const address = getInstanceName(message.to);
		const link = this.links.get(address) ?? {waiting: [], isBusy: false};
		this.links.set(address, link);
		link.waiting = keepNewest([...link.waiting, message]);
		if (!link.isBusy) {
			void this.drain(address, link);
		}
	}

	private async drain(address: string, link: Link): Promise<void> {
		link.isBusy = true;
		while (link.waiting.length > 0) {
			const body = takeBody(link.waiting);
			link.waiting = link.waiting.slice(body.length);
			// One call after the other keeps the order. A lost one is not sent again: the log's own timers do that.
			// eslint-disable-next-line no-await-in-loop
			await this.client.call({
				address, path: '/log', body, idleTimeoutMs: callSilenceMs,
			});
		}

		link.isBusy = false;
	}
}
