/**
 * What an instance without a log contributes: it may be a seed, so it tells others where the log is kept, and finds that
 * out for itself.
 *
 * At the very first start it also names who begins the log, in case that no seed keeps one. It names one instance in its
 * life and none after a restart, so two logs never begin.
 */

import {getInstanceName, type ReplicaId} from 'mastvalve-replication';
import {
	assumeType, describeError, repeatUntilAborted, type Clock,
} from 'mastvalve-utils';
import {ok} from 'neverthrow';
import type {PeerClient} from '../peer/peer-client.js';
import type {PeerHandler} from '../peer/peer-server.js';
import {Announcements, type Announcement} from './announcements.js';
import type {Identity} from './identity.js';
import {PeerSearch} from './peer-search.js';

/** What a directory is made from. */
export type ControlDirectoryOptions = {
	/** Where others reach this instance, `ip:port`. */
	address: string;
	isFirstStart: boolean;
	readSeeds: () => string[];
	client: PeerClient;
	clock: Clock;
	/** Addresses of control instances that are known otherwise; while there are any, nobody is asked. */
	listKnownAddresses: () => string[];
	onError: (message: string) => void;
};

/** Pause between two rounds of asking while no control instance is known, ms. */
const askPauseMs = 100;

/** The directory. */
export class ControlDirectory {
	private readonly search: PeerSearch;
	private readonly announcements: Announcements;
	private founder: ReplicaId | undefined;
	/** Those that said of themselves that they keep the log. */
	private keepers: string[] = [];

	constructor(private readonly options: ControlDirectoryOptions) {
		const now = (): number => options.clock.now();
		this.search = new PeerSearch({...options, now});
		this.announcements = new Announcements(now);
	}

	/** Addresses of control instances. */
	listControlAddresses(): string[] {
		const known = this.options.listKnownAddresses();
		return known.length > 0 ? known : this.keepers;
	}

	/** Calls of other instances. */
	handlers(): Array<[string, PeerHandler]> {
		return [
			['/identify', async () => ok(this.identify())],
			['/announce', async body => {
				this.hear(assumeType<Announcement>(body));
				return ok(true);
			}],
		];
	}

	/** Keeps looking for control instances until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await repeatUntilAborted(signal, askPauseMs, async () => this.look(), thrown => {
			this.options.onError(`a search for control instances failed: ${describeError(thrown)}`);
		});
	}

	private identify(): Identity {
		return {
			address: this.options.address,
			replicaId: undefined,
			clusterId: undefined,
			initialVoters: [],
			mayBegin: false,
			peers: [...new Set([...this.listControlAddresses(), ...this.announcements.listAddresses()])],
			founder: this.founder,
		};
	}

	private hear(announcement: Announcement): void {
		this.announcements.hear(announcement);
		if (this.options.isFirstStart && announcement.mayBegin) {
			this.founder ??= announcement.id;
		}
	}

	private async look(): Promise<void> {
		if (this.options.listKnownAddresses().length > 0) {
			return;
		}

		this.search.learn(this.announcements.listAddresses());
		const answers = await this.search.ask();
		this.keepers = answers.filter(({clusterId}) => clusterId !== undefined).flatMap(({replicaId}) => (replicaId === undefined ? [] : [getInstanceName(replicaId)]));
	}
}
