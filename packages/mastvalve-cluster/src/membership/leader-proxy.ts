/**
 * Lets any member of the group commit commands and read the commit index at the leader, locally or over the network.
 */

import {ControlUnavailableError, NotLeaderError, type MastvalveError} from 'mastvalve-types';
import {waitFor, type Clock} from 'mastvalve-utils';
import {Role, type LogNode} from 'mastvalve-replication';
import {err, ok, type Result} from 'neverthrow';
import type {PeerClient} from '../peer/peer-client.js';
import type {PeerHandler} from '../peer/peer-server.js';

export type LeaderProxyOptions = {
	/** Address of this instance, `ip:port`. */
	address: string;
	client: PeerClient;
	clock: Clock;
	/** Returns the log node of this instance, or undefined until it is started. */
	readNode: () => LogNode | undefined;
};

/** A control instance that transfers no byte for this long counts as unreachable, ms: longer than an election, shorter than the time after which callers fail over. */
const callIdleTimeoutMs = 700;
/** Time limit for a read to wait until the committed entries are applied locally, ms. */
const applyWaitMs = 700;
const applyPollMs = 20;
/** A change that no majority has confirmed after this long has an unknown outcome, ms: shorter than the time after which operators fail over. */
const proposeTimeoutMs = 2500;

export class LeaderProxy {
	constructor(private readonly options: LeaderProxyOptions) {}

	/** Returns the handlers for calls from other members to this one as the leader, by path. */
	handlers(): Array<[string, PeerHandler]> {
		return [
			['/propose', async body => this.proposeLocally(body)],
			['/fresh', async () => this.readCommitIndex()],
		];
	}

	/** Proposes a command at the leader and returns its result. */
	async propose(command: unknown): Promise<Result<unknown, MastvalveError>> {
		if (this.node?.replica.role === Role.Leader) {
			return this.proposeLocally(command);
		}

		return this.call('/propose', command);
	}

	/** Waits until every entry that was committed at the time of the call is applied locally. */
	async waitUntilFresh(): Promise<Result<true, MastvalveError>> {
		// A change whose write is in flight on this instance is covered by the loop below.
		const index = this.isLeading ? ok(this.node?.replica.commitIndex ?? 0) : await this.call<number>('/fresh', {});
		if (index.isErr()) {
			return err(index.error);
		}

		const deadline = this.options.clock.now() + applyWaitMs;
		while (this.appliedIndex < index.value && this.options.clock.now() < deadline) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(applyPollMs);
		}

		return this.appliedIndex >= index.value ? ok(true) : err(new ControlUnavailableError('This control instance is still catching up.'));
	}

	/** Calls the leader; fails immediately if none is known. */
	async call<T>(path: string, body: unknown): Promise<Result<T, MastvalveError>> {
		const address = this.node?.leaderName;
		if (address === undefined || address === this.options.address) {
			return err(new NotLeaderError(undefined));
		}

		return this.options.client.call<T>({
			address, path, body, idleTimeoutMs: callIdleTimeoutMs,
		});
	}

	private get node(): LogNode | undefined {
		return this.options.readNode();
	}

	private get appliedIndex(): number {
		return this.node?.appliedIndex ?? 0;
	}

	/** Whether this instance leads with a valid lease, even if it has not applied all committed entries. */
	private get isLeading(): boolean {
		return this.node?.hasReadLease() ?? false;
	}

	private async proposeLocally(command: unknown): Promise<Result<unknown, MastvalveError>> {
		if (!this.node) {
			return err(new ControlUnavailableError('This control instance is not part of a group yet.'));
		}

		const timeout = waitFor(proposeTimeoutMs).then(() => err(new ControlUnavailableError('No majority has confirmed the change in time.')));
		return Promise.race([this.node.propose(command), timeout]);
	}

	private async readCommitIndex(): Promise<Result<number, MastvalveError>> {
		return this.isLeading ? ok(this.node?.replica.commitIndex ?? 0) : err(new NotLeaderError(this.node?.leaderName));
	}
}
