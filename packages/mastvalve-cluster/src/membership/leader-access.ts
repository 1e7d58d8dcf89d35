/**
 * What any member of the group needs of its leader, wherever that is: changes committed, and how far everything is committed.
 */

import {ControlUnavailableError, NotLeaderError, type MastvalveError} from 'mastvalve-types';
import {waitFor, type Clock} from 'mastvalve-utils';
import {Role, type LogNode} from 'mastvalve-replication';
import {err, ok, type Result} from 'neverthrow';
import type {PeerClient} from '../peer/peer-client.js';
import type {PeerHandler} from '../peer/peer-server.js';

/** What the access is made from. */
export type LeaderAccessOptions = {
	/** Own address, `ip:port`. */
	address: string;
	client: PeerClient;
	clock: Clock;
	/** This instance's part in the log; undefined until it has one. */
	readNode: () => LogNode | undefined;
};

/** A control instance with which no byte moves for this long is out of reach, ms: above an election, below the time in which callers go elsewhere. */
const callSilenceMs = 700;
/** How long a read waits until what is committed is applied here, ms. */
const applyWaitMs = 700;
/** How often that is looked at, ms. */
const applyPollMs = 20;
/** A change that no majority has confirmed after this long has no known outcome, ms: below the time in which operators go elsewhere. */
const proposeTimeoutMs = 2500;

/** The access. */
export class LeaderAccess {
	constructor(private readonly options: LeaderAccessOptions) {}

	/** Calls of the other members to this one as the leader. */
	handlers(): Array<[string, PeerHandler]> {
		return [
			['/propose', async body => this.proposeHere(body)],
			['/fresh', async () => this.readCommitted()],
		];
	}

	/** Proposes a command at the leader, and gives its result. */
	async propose(command: unknown): Promise<Result<unknown, MastvalveError>> {
		if (this.node?.replica.role === Role.Leader) {
			return this.proposeHere(command);
		}

		return this.call('/propose', command);
	}

	/** Waits until all is applied here that was committed anywhere when it was called. */
	async readFresh(): Promise<Result<true, MastvalveError>> {
		// A change that is being written here is waited for below.
		const index = this.isLeading ? ok(this.node?.replica.commitIndex ?? 0) : await this.call<number>('/fresh', {});
		if (index.isErr()) {
			return err(index.error);
		}

		const endAt = this.options.clock.now() + applyWaitMs;
		while (this.appliedIndex < index.value && this.options.clock.now() < endAt) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(applyPollMs);
		}

		return this.appliedIndex >= index.value ? ok(true) : err(new ControlUnavailableError('This control instance is still catching up.'));
	}

	/** Calls the leader; fails at once when none is known. */
	async call<T>(path: string, body: unknown): Promise<Result<T, MastvalveError>> {
		const address = this.node?.leaderName;
		if (address === undefined || address === this.options.address) {
			return err(new NotLeaderError(undefined));
		}

		return this.options.client.call<T>({
			address, path, body, idleTimeoutMs: callSilenceMs,
		});
	}

	private get node(): LogNode | undefined {
		return this.options.readNode();
	}

	private get appliedIndex(): number {
		return this.node?.appliedIndex ?? 0;
	}

	/** Whether this instance leads with a valid lease, whether or not it has applied all. */
	private get isLeading(): boolean {
		return this.node?.hasReadLease() ?? false;
	}

	private async proposeHere(command: unknown): Promise<Result<unknown, MastvalveError>> {
		if (!this.node) {
			return err(new ControlUnavailableError('This control instance is not part of a group yet.'));
		}

		const late = waitFor(proposeTimeoutMs).then(() => err(new ControlUnavailableError('No majority has confirmed the change in time.')));
		return Promise.race([this.node.propose(command), late]);
	}

	private async readCommitted(): Promise<Result<number, MastvalveError>> {
		return this.isLeading ? ok(this.node?.replica.commitIndex ?? 0) : err(new NotLeaderError(this.node?.leaderName));
	}
}
