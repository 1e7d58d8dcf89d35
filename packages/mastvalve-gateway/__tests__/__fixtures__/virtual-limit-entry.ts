/**
 * One entry in virtual time that claims the costs of requests: the real client of the leader, behind links and a process that can fail.
 */

import {PeerError} from 'mastvalve-cluster';
import type {LimitRequest, LimitResponse} from 'mastvalve-fleet-control';
import type {LimitedWorkspace} from 'mastvalve-access';
import {assumeType, type Random} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {VirtualTime} from '../../../../features/support/virtual-time.js';
import {LimitClient} from '../../src/index.js';

export type VirtualLimitEntryOptions = {
	name: string;
	time: VirtualTime;
	random: Random;
	windowMs: number;
	entries: number;
	/** Name of the leader as this entry has heard it last. */
	readLeader: () => string | undefined;
	/** Asks the leader; undefined while none answers. */
	ask: (request: LimitRequest) => Promise<LimitResponse | undefined>;
	/** Called for each cost that the entry runs. */
	onRun: (workspace: string, cost: number) => void;
	onRefused: (workspace: string) => void;
};

/** When the connection of a call closes. */
export enum Closing {
	Never = 'never',
	BeforeHandled = 'before the leader has handled it',
	AfterHandled = 'after the leader has handled it',
}

/** Duration of a call to the leader, ms, and of one that is not answered. */
const callDurationMs = 3;
const failedCallDurationMs = 150;
/** Time for which a caller's request stays in the queue of an entry that stands still, ms. */
const callerPatienceMs = 2000;

export class VirtualLimitEntry {
	/** Whether no call reaches a leader. */
	isCutOff = false;
	/** When the connection of the next call closes; calls after it are answered. */
	nextClosing = Closing.Never;
	readonly client: LimitClient;
	private readonly ending = new AbortController();
	private frozenUntil = 0;

	constructor(private readonly options: VirtualLimitEntryOptions) {
		const {name, time, random, windowMs, entries, readLeader} = options;
		this.client = new LimitClient({
			entry: name,
			client: {call: async ({body}) => this.call(assumeType<LimitRequest>(body))},
			readLeader,
			readEntryCount: () => entries,
			random,
			now: () => time.clock.now(),
			windowMs,
			signal: this.ending.signal,
			wait: async ms => {
				await time.wait(ms);
				await this.thaw();
			},
			onEvent: () => undefined,
		});
	}

	/** Stands still for a time, as a process that got no processor does. */
	freeze(ms: number): void {
		this.frozenUntil = this.options.time.clock.now() + ms;
	}

	kill(): void {
		this.ending.abort();
	}

	/** Claims the cost of a request, and runs it if it is granted. */
	async serve(workspace: LimitedWorkspace, cost: number): Promise<void> {
		const {time, onRun, onRefused} = this.options;
		const arrivedAt = time.clock.now();
		await this.thaw();
		if (this.ending.signal.aborted || time.clock.now() > arrivedAt + callerPatienceMs) {
			return;
		}

		const {isTaken} = await this.client.claimCost(workspace, cost);
		if (this.ending.signal.aborted) {
			return;
		}

		if (isTaken) {
			onRun(workspace.name, cost);
		} else {
			onRefused(workspace.name);
		}
	}

	private async thaw(): Promise<void> {
		const {time} = this.options;
		while (time.clock.now() < this.frozenUntil) {
			// eslint-disable-next-line no-await-in-loop
			await time.wait(this.frozenUntil - time.clock.now());
		}
	}

	private async call<T>(request: LimitRequest): Promise<Result<T, PeerError>> {
		const {time, ask} = this.options;
		const closing = this.nextClosing;
		this.nextClosing = Closing.Never;
		await time.wait(callDurationMs / 2);
		const response = this.isCutOff || closing === Closing.BeforeHandled ? undefined : await ask(request);
		if (closing !== Closing.Never) {
			return err(new PeerError('leader', '/limits', 'connection closed'));
		}

		await time.wait(response ? callDurationMs / 2 : failedCallDurationMs);
		await this.thaw();
		return response ? ok(assumeType<T>(response)) : err(new PeerError('leader', '/limits', 'no answer'));
	}
}
