/**
 * Discovers the control instances on behalf of an instance without a log. Such an instance may be a seed, so it reports
 * the control instances to its peers.
 *
 * At the first start of the system it also names the founder, which creates the log if no seed has a replica: one in its
 * lifetime, and none after a restart (`founder-naming.ts`).
 */

import {getInstanceName, type ReplicaId} from 'mastvalve-replication';
import {
	assumeType, describeError, repeatUntilAborted, type Clock,
} from 'mastvalve-utils';
import {ok} from 'neverthrow';
import type {PeerClient} from '../peer/peer-client.js';
import type {PeerHandler} from '../peer/peer-server.js';
import {Announcements, type Announcement} from './announcements.js';
import {nameFounder} from './founder-naming.js';
import type {Identity} from './identity.js';
import {PeerDiscovery} from './peer-discovery.js';

export type ControlDirectoryOptions = {
	/** Address for calls from other instances, `ip:port`. */
	address: string;
	isFirstStart: boolean;
	readSeeds: () => string[];
	client: PeerClient;
	clock: Clock;
	/** Returns addresses of control instances from another source; discovery is skipped while there are any. */
	listKnownAddresses: () => string[];
	onError: (message: string) => void;
};

/** Pause between two discovery rounds while no control instance is known, ms. */
const discoveryIntervalMs = 100;

export class ControlDirectory {
	private readonly discovery: PeerDiscovery;
	private readonly announcements: Announcements;
	private founder: ReplicaId | undefined;
	/** First instance that asked to join and may begin a log. */
	private candidate: ReplicaId | undefined;
	private answers: Identity[] = [];
	/** Addresses of the instances that reported a replica of the log. */
	private discoveredAddresses: string[] = [];

	constructor(private readonly options: ControlDirectoryOptions) {
		const now = (): number => options.clock.now();
		this.discovery = new PeerDiscovery({...options, now});
		this.announcements = new Announcements(now);
	}

	listControlAddresses(): string[] {
		const known = this.options.listKnownAddresses();
		return known.length > 0 ? known : this.discoveredAddresses;
	}

	/** Returns the handlers for calls from other instances, by path. */
	handlers(): Array<[string, PeerHandler]> {
		return [
			['/identify', async () => ok(this.identify())],
			['/announce', async body => {
				this.recordAnnouncement(assumeType<Announcement>(body));
				return ok(true);
			}],
		];
	}

	/** Discovers control instances until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await repeatUntilAborted(signal, discoveryIntervalMs, async () => this.discover(), thrown => {
			this.options.onError(`discovery of control instances failed: ${describeError(thrown)}`);
		});
	}

	private identify(): Identity {
		return {
			address: this.options.address,
			replicaId: undefined,
			clusterId: undefined,
			initialVoters: [],
			mayBegin: this.options.isFirstStart,
			peers: [...new Set([...this.listControlAddresses(), ...this.announcements.listAddresses()])],
			founder: this.founder,
		};
	}

	private recordAnnouncement(announcement: Announcement): void {
		this.announcements.record(announcement);
		if (announcement.mayBegin) {
			this.candidate ??= announcement.id;
		}

		this.nameFounder();
	}

	private nameFounder(): void {
		this.founder ??= nameFounder(this.identify(), this.options.readSeeds(), this.answers, this.candidate);
	}

	private async discover(): Promise<void> {
		if (this.options.listKnownAddresses().length > 0) {
			return;
		}

		this.discovery.addPeers(this.announcements.listAddresses());
		this.answers = await this.discovery.identifyPeers();
		this.nameFounder();
		this.discoveredAddresses = this.answers.filter(({clusterId}) => clusterId !== undefined).flatMap(({replicaId}) => (replicaId === undefined ? [] : [getInstanceName(replicaId)]));
	}
}
