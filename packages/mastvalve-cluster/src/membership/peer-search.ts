/**
 * Finds the other control instances: asks seeds and whomever they name, and announces an instance that wants to join.
 */

import type {PeerClient} from '../peer/peer-client.js';
import type {Announcement} from './announcements.js';
import type {Identity} from './identity.js';

/** What a search is made from. */
export type PeerSearchOptions = {
	/** Address of this instance, which is never asked. */
	address: string;
	client: PeerClient;
	now: () => number;
	/** Instances to ask first; may change. */
	readSeeds: () => string[];
};

/** Longest time without a byte, ms. */
const callSilenceMs = 700;
/** Who has not been named for this long is not asked any more, ms: instances that were replaced are gone for good. */
const forgetMs = 30_000;

/** The search. */
export class PeerSearch {
	private readonly namedAt = new Map<string, number>();

	constructor(private readonly options: PeerSearchOptions) {}

	/** Seeds, and those whom others have named lately. */
	listOthers(): string[] {
		const from = this.options.now() - forgetMs;
		[...this.namedAt].filter(([, at]) => at < from).forEach(([address]) => {
			this.namedAt.delete(address);
		});
		return [...new Set([...this.options.readSeeds(), ...this.namedAt.keys()])].filter(address => address !== this.options.address);
	}

	/** Takes note of addresses. */
	learn(addresses: readonly string[]): void {
		addresses.forEach(address => {
			this.namedAt.set(address, this.options.now());
		});
	}

	/** Asks all others who they are, and learns of those whom they name. */
	async ask(): Promise<Identity[]> {
		const answers = await Promise.all(this.listOthers().map(async address => this.options.client.call<Identity>({
			address, path: '/identify', body: {}, idleTimeoutMs: callSilenceMs,
		})));
		const identities = answers.flatMap(answer => (answer.isOk() ? [answer.value] : []));
		this.learn(identities.flatMap(({peers}) => peers));
		return identities;
	}

	/** Tells all others that an instance wants to join. */
	async announce(announcement: Announcement): Promise<void> {
		await Promise.all(this.listOthers().map(async address => this.options.client.call({
			address, path: '/announce', body: announcement, idleTimeoutMs: callSilenceMs,
		})));
	}
}
