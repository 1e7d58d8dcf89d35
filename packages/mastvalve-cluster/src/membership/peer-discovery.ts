/**
 * Discovers the other control instances through the seeds and the peers that they report, and announces an instance that
 * wants to join.
 */

import type {PeerClient} from '../peer/peer-client.js';
import type {Announcement} from './announcements.js';
import type {Identity} from './identity.js';

export type PeerDiscoveryOptions = {
	/** Address of this instance, which is never contacted. */
	address: string;
	client: PeerClient;
	now: () => number;
	/** Returns the addresses of the instances to contact first; they may change. */
	readSeeds: () => string[];
};

const callIdleTimeoutMs = 700;
/** Peers that have not been reported for this long are dropped, ms: replaced instances don't return. */
const peerTtlMs = 30_000;

export class PeerDiscovery {
	private readonly lastReportedAt = new Map<string, number>();

	constructor(private readonly options: PeerDiscoveryOptions) {}

	/** Returns the seeds and the recently reported peers. */
	listPeers(): string[] {
		const expiresBefore = this.options.now() - peerTtlMs;
		[...this.lastReportedAt].filter(([, at]) => at < expiresBefore).forEach(([address]) => {
			this.lastReportedAt.delete(address);
		});
		return [...new Set([...this.options.readSeeds(), ...this.lastReportedAt.keys()])].filter(address => address !== this.options.address);
	}

	/** Adds addresses or renews them. */
	addPeers(addresses: readonly string[]): void {
		addresses.forEach(address => {
			this.lastReportedAt.set(address, this.options.now());
		});
	}

	/** Requests the identity of every peer, and adds the peers that they report. */
	async identifyPeers(): Promise<Identity[]> {
		const answers = await Promise.all(this.listPeers().map(async address => this.options.client.call<Identity>({
			address, path: '/identify', body: {}, idleTimeoutMs: callIdleTimeoutMs,
		})));
		const identities = answers.flatMap(answer => (answer.isOk() ? [answer.value] : []));
		this.addPeers(identities.flatMap(({peers}) => peers));
		return identities;
	}

	/** Announces to every peer that an instance wants to join. */
	async announce(announcement: Announcement): Promise<void> {
		await Promise.all(this.listPeers().map(async address => this.options.client.call({
			address, path: '/announce', body: announcement, idleTimeoutMs: callIdleTimeoutMs,
		})));
	}
}
