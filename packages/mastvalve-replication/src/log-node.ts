/**
 * Runs a replica: takes inputs, makes writes durable, sends messages, applies entries, answers proposals.
 *
 * Inputs that arrive while a write is under way wait and go into the next round together; so one sync carries many
 * proposals.
 */

import {MastvalveError, NotLeaderError, Outcome} from 'mastvalve-types';
import {SuspensionWatch, type Clock} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {DurableWrite, Effects} from './effects.js';
import {EntryKind, type LogEntry} from './log-entry.js';
import {getInstanceName, type Membership} from './membership.js';
import type {Message} from './message.js';
import type {Replica} from './replica.js';
import {Role} from './replica-core.js';

/** The state machine that the log drives; deterministic. */
export type StateMachine = {
	/** Applies a command; the result goes to the proposer. */
	apply: (command: unknown, index: number) => unknown;
	/** The whole state as plain data. */
	takeSnapshot: () => unknown;
	restoreSnapshot: (data: unknown, index: number) => void;
};

/** What a node is made from. */
export type LogNodeOptions = {
	replica: Replica;
	persist: (write: DurableWrite) => Promise<void>;
	send: (message: Message) => void;
	machine: StateMachine;
	clock: Clock;
	/** Entries after which a snapshot is taken. */
	snapshotIntervalEntries: number;
	/** Whether storage has so much behind its last snapshot that one is due earlier. */
	needsCompaction?: () => boolean;
	/** Called once when storage failed; the node takes no further part. */
	onFailure: (thrown: unknown) => void;
	/** Called when the instance seems to have been suspended, or its time of day was set forward. */
	onSuspended?: () => void;
	/** Called when role, term or leader changed. */
	onRoleChange?: (role: Role, term: number, leader: string | undefined) => void;
};

/** A proposal whose leader was lost; it may or may not be committed. */
export class ProposalLostError extends MastvalveError {
	constructor() {
		super('proposal-lost', 'Leadership was lost before the change was known to be committed. Ask again with the same request id.', {status: 503, outcome: Outcome.Unknown, retryAfterSeconds: 1});
		this.name = 'ProposalLostError';
	}
}

type Waiter = {term: number; resolve: (result: Result<unknown, MastvalveError>) => void};

/** A running replica. */
export class LogNode {
	appliedIndex: number;
	private inputs: Array<() => void> = [];
	private readonly waiters = new Map<number, Waiter>();
	private pumping: Promise<void> | undefined;
	private stopped = false;
	private snapshotIndex: number;
	private lastRole = '';
	private readonly suspension: SuspensionWatch;

	constructor(private readonly options: LogNodeOptions) {
		this.appliedIndex = options.replica.commitIndex;
		this.snapshotIndex = this.appliedIndex;
		this.suspension = new SuspensionWatch(options.clock);
	}

	get replica(): Replica {
		return this.options.replica;
	}

	/** Instance name of the leader, as far as it is known here. */
	get leaderName(): string | undefined {
		const {leader} = this.options.replica;
		return leader === undefined ? undefined : getInstanceName(leader);
	}

	/** Whether the applied state may be read as linearizable at this moment. */
	hasLinearizableState(): boolean {
		return !this.stopped && this.hasReadLease() && this.appliedIndex >= this.options.replica.commitIndex;
	}

	/** Whether this one leads with a valid lease, whether or not it has applied all. */
	hasReadLease(): boolean {
		return this.options.replica.hasReadLease(this.readClock());
	}

	/** When this one last heard from the leader, in the clock's ms; undefined without one. */
	leaderContactAt(): number | undefined {
		return this.options.replica.leaderContactAt(this.readClock());
	}

	/** Proposes a command and waits until it is applied. */
	async propose(command: unknown): Promise<Result<unknown, MastvalveError>> {
		return this.proposeWith(() => this.options.replica.propose(command));
	}

	/** Proposes a membership that differs by one replica. */
	async proposeMembership(membership: Membership): Promise<Result<unknown, MastvalveError>> {
		return this.proposeWith(() => this.options.replica.proposeMembership(membership));
	}

	receive(message: Message): void {
		this.enqueue(() => {
			this.options.replica.receive(message, this.options.clock.now());
		});
	}

	/** Time goes on; costs next to nothing when no timer of the replica is due. */
	tick(): void {
		if (this.readClock() < this.options.replica.nextTimerAt) {
			return;
		}

		this.enqueue(() => {
			this.options.replica.tick(this.options.clock.now());
		});
	}

	transferLeadership(): void {
		this.enqueue(() => {
			this.options.replica.transferLeadership(this.options.clock.now());
		});
	}

	/** Ends the node: nothing is written or sent any more. */
	async stop(): Promise<void> {
		this.stopped = true;
		await this.pumping;
		this.failWaiters();
	}

	/**
	 * The time. Whoever uses a lease or answers for the newest state asks here first: a leader that was suspended for longer than
	 * its lease would believe in it on waking, since no time has gone by on its steady clock.
	 */
	private readClock(): number {
		const {clock, replica, onSuspended} = this.options;
		const now = clock.now();
		if (this.suspension.hasJumped()) {
			replica.invalidateContacts(now);
			onSuspended?.();
		}

		return now;
	}

	private async proposeWith(append: () => {index: number; term: number} | undefined): Promise<Result<unknown, MastvalveError>> {
		return new Promise(resolve => {
			if (this.stopped) {
				resolve(err(new NotLeaderError(undefined)));
				return;
			}

			this.enqueue(() => {
				const position = append();
				if (position) {
					this.waiters.set(position.index, {term: position.term, resolve});
				} else {
					resolve(err(new NotLeaderError(this.leaderName)));
				}
			});
		});
	}

	private enqueue(input: () => void): void {
		if (this.stopped) {
			return;
		}

		this.inputs.push(input);
		this.pumping ??= this.pump().finally(() => {
			this.pumping = undefined;
		});
	}

	private async pump(): Promise<void> {
		try {
			// Lets inputs of the same turn of the loop gather into one round.
			await Promise.resolve();
			while (this.inputs.length > 0 && !this.stopped) {
				// Rounds must follow each other: nothing is sent before its write is durable.
				// eslint-disable-next-line no-await-in-loop
				await this.runRound();
			}
		} catch (error) {
			this.stopped = true;
			this.failWaiters();
			this.options.onFailure(error);
		}
	}

	private async runRound(): Promise<void> {
		const {replica, clock, persist, send} = this.options;
		const {inputs} = this;
		this.inputs = [];
		inputs.forEach(input => {
			input();
		});
		replica.flush(clock.now());
		const effects = replica.takeEffects();
		if (effects.write) {
			await persist(effects.write);
		}

		effects.messages.forEach(send);
		this.applyEffects(effects);
		this.reportRole();
		this.snapshotIfDue();
	}

	private applyEffects(effects: Effects): void {
		if (effects.snapshotToRestore) {
			this.options.machine.restoreSnapshot(effects.snapshotToRestore.data, effects.snapshotToRestore.index);
			this.appliedIndex = effects.snapshotToRestore.index;
			this.snapshotIndex = effects.snapshotToRestore.index;
		}

		effects.committed.forEach(entry => {
			this.applyEntry(entry);
		});
	}

	private applyEntry(entry: LogEntry): void {
		const result = entry.kind === EntryKind.Command ? this.options.machine.apply(entry.command, entry.index) : undefined;
		this.appliedIndex = entry.index;
		const waiter = this.waiters.get(entry.index);
		if (waiter) {
			this.waiters.delete(entry.index);
			waiter.resolve(waiter.term === entry.term ? ok(result) : err(new ProposalLostError()));
		}
	}

	private reportRole(): void {
		const {replica, onRoleChange} = this.options;
		const role = `${replica.role} ${replica.term} ${replica.leader ?? ''}`;
		if (role !== this.lastRole) {
			this.lastRole = role;
			if (replica.role !== Role.Leader) {
				this.failWaiters();
			}

			onRoleChange?.(replica.role, replica.term, this.leaderName);
		}
	}

	private failWaiters(): void {
		const waiting = [...this.waiters.values()];
		this.waiters.clear();
		waiting.forEach(waiter => {
			waiter.resolve(err(new ProposalLostError()));
		});
	}

	private snapshotIfDue(): void {
		const {replica, machine, snapshotIntervalEntries: snapshotEvery, needsCompaction: isStorageLarge} = this.options;
		const entries = this.appliedIndex - this.snapshotIndex;
		if (entries >= snapshotEvery || (entries > 0 && isStorageLarge?.())) {
			this.snapshotIndex = this.appliedIndex;
			replica.compact(this.appliedIndex, machine.takeSnapshot());
			// The write goes out with the next round.
			this.inputs.push(() => undefined);
		}
	}
}
