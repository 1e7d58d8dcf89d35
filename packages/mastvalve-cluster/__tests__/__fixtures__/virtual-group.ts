/**
 * Members of a replicated log in one process and in virtual time. A suspended member does nothing, and its monotonic clock
 * stops; messages to it stay pending as they would in its sockets.
 */

import {setImmediate} from 'node:timers/promises';
import {
	defaultReplicaRules, formatReplicaId, LogNode, Replica, type Message,
} from 'mastvalve-replication';
import {createRandom, toMastvalveError, type Clock} from 'mastvalve-utils';
import {groupTimes} from '../../src/index.js';

/** Time between two steps, and message delay between members, ms. */
const stepMs = 5;
/** Initial wall clock time, ms since the epoch. */
const initialWallMs = 1_800_000_000_000;
/** Time within which a healthy group commits, ms. */
const commitWaitMs = 200;

type Member = {suspendedMs: number; isSuspended: boolean; wallOffsetMs: number; inbox: Message[]};

export class VirtualGroup {
	readonly nodes: LogNode[];
	/** Commands that each member has applied. */
	readonly applied: string[][];
	private readonly members: Member[];
	private readonly ids: string[];
	private elapsedMs = 0;
	private inFlight: Message[] = [];

	constructor(count: number) {
		this.ids = Array.from({length: count}, (_, index) => formatReplicaId(`member-${index}`, 'disk'));
		this.members = this.ids.map(() => ({
			suspendedMs: 0, isSuspended: false, wallOffsetMs: 0, inbox: [],
		}));
		this.applied = this.ids.map(() => []);
		this.nodes = this.ids.map((id, index) => this.createNode(id, index));
	}

	/** Index of the member that leads with a valid lease and isn't suspended. */
	get leader(): number | undefined {
		const index = this.nodes.findIndex((node, each) => !this.members[each]!.isSuspended && node.hasLinearizableState());
		return index === -1 ? undefined : index;
	}

	get maxAppliedIndex(): number {
		return Math.max(...this.nodes.map(({appliedIndex}) => appliedIndex));
	}

	/** Advances time; `onStep` is called after each step. */
	async run(ms: number, onStep: () => void = () => undefined): Promise<void> {
		await Array.from({length: Math.ceil(ms / stepMs)}).reduce<Promise<void>>(async previous => {
			await previous;
			await this.step();
			onStep();
		}, Promise.resolve());
	}

	suspend(index: number): void {
		this.members[index]!.isSuspended = true;
	}

	/** Ends a suspension; the pending messages are processed in the next step. */
	resume(index: number): void {
		this.members[index]!.isSuspended = false;
	}

	stepWallClock(index: number, ms: number): void {
		this.members[index]!.wallOffsetMs += ms;
	}

	/** Proposes a command at the leader; returns whether it was committed in time. */
	async commit(command: string): Promise<boolean> {
		let isCommitted = false;
		void this.nodes[this.leader ?? 0]!.propose(command).then(result => {
			isCommitted = result.isOk();
		});
		await this.run(commitWaitMs);
		return isCommitted;
	}

	private createNode(id: string, index: number): LogNode {
		const clock: Clock = {
			now: () => this.elapsedMs - this.members[index]!.suspendedMs,
			wall: () => initialWallMs + this.elapsedMs + this.members[index]!.wallOffsetMs,
		};
		const replica = new Replica({
			id,
			initialMembership: {voters: this.ids, learners: []},
			restored: {
				hardState: {term: 0, votedFor: undefined}, entries: [], snapshot: undefined,
			},
			times: groupTimes,
			rules: defaultReplicaRules,
			random: createRandom(index + 1),
			now: clock.now(),
		});
		return new LogNode({
			replica,
			machine: {
				apply: command => this.applied[index]!.push(String(command)),
				takeSnapshot: () => this.applied[index],
				restoreSnapshot: () => undefined,
			},
			clock,
			snapshotIntervalEntries: 1000,
			persist: async () => undefined,
			send: message => {
				this.inFlight.push(message);
			},
			onFailure(thrown) {
				throw toMastvalveError(thrown);
			},
		});
	}

	private async step(): Promise<void> {
		this.elapsedMs += stepMs;
		const delivered = this.inFlight;
		this.inFlight = [];
		delivered.forEach(message => {
			this.members[this.ids.indexOf(message.to)]!.inbox.push(message);
		});
		this.members.forEach((member, index) => {
			this.stepMember(member, index);
		});
		// Lets all members finish their pending work before the next step.
		await setImmediate();
		await setImmediate();
	}

	private stepMember(member: Member, index: number): void {
		if (member.isSuspended) {
			member.suspendedMs += stepMs;
			return;
		}

		member.inbox.splice(0).forEach(message => {
			this.nodes[index]!.receive(message);
		});
		this.nodes[index]!.tick();
	}
}
