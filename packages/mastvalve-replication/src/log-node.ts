/**
 * Drives a replica: processes inputs, makes writes durable, sends messages, applies entries and resolves proposals.
 *
 * Inputs that arrive during a write are queued and processed as one batch, so that one sync covers many proposals.
 */

import {MastvalveError, NotLeaderError, Outcome} from 'mastvalve-types';
import {SuspensionDetector, type Clock} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {DurableWrite, Effects} from './effects.js';
import {EntryKind, type LogEntry} from './log-entry.js';
import {getInstanceName, type Membership} from './membership.js';
import type {Message} from './message.js';
import type {Replica} from './replica.js';
import {Role} from './replica-core.js';

/** Deterministic state machine to which committed commands are applied. */
export type StateMachine = {
	/** Applies a command; the result is returned to the proposer. */
	apply: (command: unknown, index: number) => unknown;
	/** Returns the whole state as serializable data. */
	takeSnapshot: () => unknown;
	restoreSnapshot: (data: unknown, index: number) => void;
};

export type LogNodeOptions = {
	replica: Replica;
	persist: (write: DurableWrite) => Promise<void>;
	send: (message: Message) => void;
	machine: StateMachine;
	clock: Clock;
	/** Number of applied entries between snapshots. */
	snapshotIntervalEntries: number;
	/** Whether storage has grown so much since its last snapshot that the next one is due early. */
	needsCompaction?: () => boolean;
	/** Called once when processing a batch has failed, such as on a storage error; the node then stops. */
	onFailure: (thrown: unknown) => void;
	/** Called when the instance appears to have been suspended or its time of day was set forward. */
	onSuspended?: () => void;
	/** Called when role, term or leader has changed. */
	onRoleChange?: (role: Role, term: number, leader: string | undefined) => void;
};

/** Returned when leadership was lost or the node stopped before a proposal was applied; the proposal may or may not be committed. */
export class ProposalLostError extends MastvalveError {
	constructor() {
		super('proposal-lost', 'Leadership was lost before the change was known to be committed. Ask again with the same request id.', {status: 503, outcome: Outcome.Unknown, retryAfterSeconds: 1});
		this.name = 'ProposalLostError';
	}
}

type PendingProposal = {term: number; resolve: (result: Result<unknown, MastvalveError>) => void};

/** Runs one replica with its storage, transport and state machine. */
export class LogNode {
	appliedIndex: number;
	private inputs: Array<() => void> = [];
	private readonly pendingProposals = new Map<number, PendingProposal>();
	private processing: Promise<void> | undefined;
	private isStopped = false;
	private snapshotIndex: number;
	private lastReportedRole = '';
	private readonly suspension: SuspensionDetector;

	constructor(private readonly options: LogNodeOptions) {
		this.appliedIndex = options.replica.commitIndex;
		this.snapshotIndex = this.appliedIndex;
		this.suspension = new SuspensionDetector(options.clock);
	}

	get replica(): Replica {
		return this.options.replica;
	}

	/** Instance name of the leader; undefined while it is unknown. */
	get leaderName(): string | undefined {
		const {leader} = this.options.replica;
		return leader === undefined ? undefined : getInstanceName(leader);
	}

	/** Whether reads of the applied state are linearizable now: the lease is valid and all committed entries are applied. */
	hasLinearizableState(): boolean {
		return !this.isStopped && this.hasReadLease() && this.appliedIndex >= this.options.replica.commitIndex;
	}

	/** Whether this instance leads with a valid lease. Committed entries may still be unapplied. */
	hasReadLease(): boolean {
		return this.options.replica.hasReadLease(this.readClock());
	}

	/** Returns when the current leader last made contact, in ms of the clock; undefined without a known leader. */
	leaderContactAt(): number | undefined {
		return this.options.replica.leaderContactAt(this.readClock());
	}

	/** Proposes a command and resolves with its result once it is applied. */
	async propose(command: unknown): Promise<Result<unknown, MastvalveError>> {
		return this.enqueueProposal(() => this.options.replica.propose(command));
	}

	/** Proposes a membership that differs by one replica. */
	async proposeMembership(membership: Membership): Promise<Result<unknown, MastvalveError>> {
		return this.enqueueProposal(() => this.options.replica.proposeMembership(membership));
	}

	receive(message: Message): void {
		this.enqueue(() => {
			this.options.replica.receive(message, this.options.clock.now());
		});
	}

	/** Runs the replica's timers. Cheap when none is due. */
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

	/** Stops the node after the current batch and fails all pending proposals. */
	async stop(): Promise<void> {
		this.isStopped = true;
		await this.processing;
		this.failPendingProposals();
	}

	/**
	 * Returns the time after checking for a suspension. Every use of a lease and every claim to the newest state reads the clock
	 * here: the steady clock does not advance during a suspension, so a leader that was suspended for longer than its lease
	 * would still consider it valid.
	 */
	private readClock(): number {
		const {clock, replica, onSuspended} = this.options;
		const now = clock.now();
		if (this.suspension.hasBeenSuspended()) {
			replica.invalidateContacts(now);
			onSuspended?.();
		}

		return now;
	}

	private async enqueueProposal(append: () => {index: number; term: number} | undefined): Promise<Result<unknown, MastvalveError>> {
		return new Promise(resolve => {
			if (this.isStopped) {
				resolve(err(new NotLeaderError(undefined)));
				return;
			}

			this.enqueue(() => {
				const position = append();
				if (position) {
					this.pendingProposals.set(position.index, {term: position.term, resolve});
				} else {
					resolve(err(new NotLeaderError(this.leaderName)));
				}
			});
		});
	}

	private enqueue(input: () => void): void {
		if (this.isStopped) {
			return;
		}

		this.inputs.push(input);
		this.processing ??= this.processInputs().finally(() => {
			this.processing = undefined;
		});
	}

	private async processInputs(): Promise<void> {
		try {
			// Collects the inputs that are enqueued by the current task into one batch.
			await Promise.resolve();
			while (this.inputs.length > 0 && !this.isStopped) {
				// Batches run one after another, because no message may be sent before its write is durable.
				// eslint-disable-next-line no-await-in-loop
				await this.processBatch();
			}
		} catch (error) {
			this.isStopped = true;
			this.failPendingProposals();
			this.options.onFailure(error);
		}
	}

	private async processBatch(): Promise<void> {
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
		this.takeSnapshotIfDue();
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
		const pending = this.pendingProposals.get(entry.index);
		if (pending) {
			this.pendingProposals.delete(entry.index);
			pending.resolve(pending.term === entry.term ? ok(result) : err(new ProposalLostError()));
		}
	}

	private reportRole(): void {
		const {replica, onRoleChange} = this.options;
		const role = `${replica.role} ${replica.term} ${replica.leader ?? ''}`;
		if (role !== this.lastReportedRole) {
			this.lastReportedRole = role;
			if (replica.role !== Role.Leader) {
				this.failPendingProposals();
			}

			onRoleChange?.(replica.role, replica.term, this.leaderName);
		}
	}

	private failPendingProposals(): void {
		const pending = [...this.pendingProposals.values()];
		this.pendingProposals.clear();
		pending.forEach(proposal => {
			proposal.resolve(err(new ProposalLostError()));
		});
	}

	private takeSnapshotIfDue(): void {
		const {replica, machine, snapshotIntervalEntries, needsCompaction} = this.options;
		const entries = this.appliedIndex - this.snapshotIndex;
		if (entries >= snapshotIntervalEntries || (entries > 0 && needsCompaction?.())) {
			this.snapshotIndex = this.appliedIndex;
			replica.compact(this.appliedIndex, machine.takeSnapshot());
			// An empty input starts another batch, which persists the snapshot.
			this.inputs.push(() => undefined);
		}
	}
}
